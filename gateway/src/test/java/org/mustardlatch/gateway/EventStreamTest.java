package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against streams that hold a part of an event twice, or a piece of two runs. */
class EventStreamTest {
  private final EventStream stream = new EventStream();

  private String add(String text) {
    ByteBuf whole = stream.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    return whole.toString(StandardCharsets.UTF_8);
  }

  @Test
  void passesOnWholeEventsOnly() {
    assertThat(add("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(stream.lastId()).isEqualTo("1");
    assertThat(add("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    assertThat(stream.lastId()).isEqualTo("2");
    assertThat(stream.events()).isEqualTo(2);
  }

  @Test
  void forgetsAPartOfAnEventWhoseStreamBrokeOff() {
    add("id: 1\n\nid: 2\nda");

    stream.dropPartial();

    assertThat(add("id: 2\n\n")).isEqualTo("id: 2\n\n");
  }

  @Test
  void knowsEventsWithCarriageReturns() {
    assertThat(add("id: 1\r\n\r\n")).isEqualTo("id: 1\r\n\r\n");
    assertThat(stream.lastId()).isEqualTo("1");
  }
}
