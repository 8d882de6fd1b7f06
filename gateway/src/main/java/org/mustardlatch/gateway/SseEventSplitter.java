package org.mustardlatch.gateway;

import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events at event boundaries and records the last event id. Until
 * the stream ends, only complete events are forwarded, so that a stream resumed on another engine
 * never contains a part of an event.
 */
final class SseEventSplitter {
  private static final byte LINE_FEED = '\n';
  private static final String ID_FIELD = "id:";

  /** Maximum length of an incomplete event, bytes. */
  static final int MAX_EVENT_BYTES = 1 << 18;

  private final ByteArrayOutputStream incompleteEvent = new ByteArrayOutputStream();
  private @Nullable String lastEventId;
  private @Nullable String resumedAfterId;
  private boolean repeating;
  private int eventCount;

  /** Starts to read the stream of another engine, which must go on after the last event. */
  void resume() {
    discardIncompleteEvent();
    resumedAfterId = lastEventId;
    repeating = false;
  }

  /**
   * Adds received bytes and returns the events that they complete; may be empty. Events from one
   * that repeats an earlier one on are discarded.
   */
  ByteBuf append(ByteBuf part) {
    byte[] bytes = new byte[part.readableBytes()];
    part.readBytes(bytes);
    incompleteEvent.writeBytes(bytes);
    byte[] all = incompleteEvent.toByteArray();
    int completeEnd = 0;
    int eventStart = 0;
    int lineStart = 0;
    for (int i = 0; i < all.length && !repeating; i++) {
      if (all[i] == LINE_FEED) {
        if (isBlank(all, lineStart, i)) {
          String id = eventId(all, eventStart, i + 1);
          repeating = id != null && isDelivered(id);
          if (!repeating) {
            recordEvent(id);
            completeEnd = i + 1;
            eventStart = completeEnd;
          }
        }
        lineStart = i + 1;
      }
    }
    incompleteEvent.reset();
    incompleteEvent.write(all, completeEnd, repeating ? 0 : all.length - completeEnd);
    return Unpooled.wrappedBuffer(all, 0, completeEnd);
  }

  /** Returns whether a resumed stream repeated an event that was forwarded before. */
  boolean repeating() {
    return repeating;
  }

  /**
   * Returns whether an event of a resumed stream has the id of the last event before, or a lower
   * number. Engines number the events of a stream in rising order.
   */
  private boolean isDelivered(String id) {
    String last = resumedAfterId;
    if (last == null) {
      return false;
    }
    Long number = Longs.tryParse(id);
    Long lastNumber = Longs.tryParse(last);
    if (number == null || lastNumber == null) {
      return id.equals(last);
    }
    return number <= lastNumber;
  }

  private static boolean isBlank(byte[] all, int from, int to) {
    return from == to || (to == from + 1 && all[from] == '\r');
  }

  private static @Nullable String eventId(byte[] all, int from, int to) {
    String id = null;
    for (String line :
        new String(all, from, to - from, StandardCharsets.UTF_8).split("\r?\n", -1)) {
      if (line.startsWith(ID_FIELD)) {
        id = line.substring(ID_FIELD.length()).strip();
      }
    }
    return id;
  }

  private void recordEvent(@Nullable String id) {
    eventCount++;
    if (id != null) {
      lastEventId = id;
    }
  }

  /** Returns whether an event is longer than any that an engine sends. */
  boolean eventTooLong() {
    return incompleteEvent.size() > MAX_EVENT_BYTES;
  }

  /** Returns the bytes received after the last complete event. */
  byte[] incompleteEventBytes() {
    return incompleteEvent.toByteArray();
  }

  /** Discards the incomplete event of a stream that was interrupted. */
  void discardIncompleteEvent() {
    incompleteEvent.reset();
  }

  /** Returns the id of the last complete event that had one, or null if none had. */
  @Nullable String lastEventId() {
    return lastEventId;
  }

  /** Returns the number of complete events so far. */
  int eventCount() {
    return eventCount;
  }
}
