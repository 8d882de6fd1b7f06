package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against forwarded streams that repeat a part of an event or mix parts of two attempts. */
class SseEventSplitterTest {
  private final SseEventSplitter splitter = new SseEventSplitter();

  private String append(String text) {
    ByteBuf events = splitter.append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    return events.toString(StandardCharsets.UTF_8);
  }

  @Test
  void returnsCompleteEventsOnly() {
    assertThat(append("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(splitter.lastEventId()).isEqualTo("1");
    assertThat(append("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    assertThat(splitter.lastEventId()).isEqualTo("2");
    assertThat(splitter.eventCount()).isEqualTo(2);
  }

  @Test
  void discardsTheIncompleteEventOfAnInterruptedStream() {
    append("id: 1\n\nid: 2\nda");

    splitter.discardIncompleteEvent();

    assertThat(append("id: 2\n\n")).isEqualTo("id: 2\n\n");
  }

  @Test
  void recognizesEventsWithCarriageReturns() {
    assertThat(append("id: 1\r\n\r\n")).isEqualTo("id: 1\r\n\r\n");
    assertThat(splitter.lastEventId()).isEqualTo("1");
  }

  @Test
  void discardsWhatAResumedStreamRepeats() {
    append("id: 9\n\nid: 10\n\nid: 11\nda");
    splitter.resume();

    assertThat(append("id: 11\n\nid: 10\n\nid: 12\n\n")).isEqualTo("id: 11\n\n");
    assertThat(splitter.repeating()).isTrue();
    assertThat(append("id: 13\n\n")).isEmpty();
    assertThat(splitter.lastEventId()).isEqualTo("11");
  }

  @Test
  void recognizesARepeatedEventWhoseIdIsNoNumber() {
    append("id: a\n\n");
    splitter.resume();

    assertThat(append("id: a\n\n")).isEmpty();
    assertThat(splitter.repeating()).isTrue();
  }

  @Test
  void firstRunOfAStreamMayHaveIdsInAnyOrder() {
    assertThat(append("id: 2\n\nid: 1\n\n")).isEqualTo("id: 2\n\nid: 1\n\n");
    assertThat(splitter.repeating()).isFalse();
  }
}
