package org.mustardlatch.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Cuts a stream of server-sent events at the ends of events, so that a stream that is resumed
 * elsewhere never holds a part of an event, and remembers the last id.
 */
final class EventStream {
  private static final byte LINE_END = '\n';
  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private @Nullable String lastId;
  private int events;

  /** Returns the whole events that are complete with these bytes; may be empty. */
  ByteBuf add(ByteBuf part) {
    byte[] bytes = new byte[part.readableBytes()];
    part.readBytes(bytes);
    partial.writeBytes(bytes);
    byte[] all = partial.toByteArray();
    int cut = 0;
    int eventStart = 0;
    int lineStart = 0;
    for (int i = 0; i < all.length; i++) {
      if (all[i] == LINE_END) {
        if (isBlank(all, lineStart, i)) {
          ended(all, eventStart, i + 1);
          cut = i + 1;
          eventStart = cut;
        }
        lineStart = i + 1;
      }
    }
    partial.reset();
    partial.write(all, cut, all.length - cut);
    return Unpooled.wrappedBuffer(all, 0, cut);
  }

  private static boolean isBlank(byte[] all, int from, int to) {
    return from == to || (to == from + 1 && all[from] == '\r');
  }

  private void ended(byte[] all, int from, int to) {
    events++;
    for (String line :
        new String(all, from, to - from, StandardCharsets.UTF_8).split("\r?\n", -1)) {
      if (line.startsWith(ID_FIELD)) {
        lastId = line.substring(ID_FIELD.length()).strip();
      }
    }
  }

  /** Returns the bytes after the last whole event. */
  byte[] rest() {
    return partial.toByteArray();
  }

  /** Forgets a part of an event, whose stream was broken off. */
  void dropPartial() {
    partial.reset();
  }

  /** Returns the id of the last whole event, or null when it had none. */
  @Nullable String lastId() {
    return lastId;
  }

  /** Returns the number of whole events so far. */
  int events() {
    return events;
  }
}
