package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against logged stream timings that point to the wrong part of a slow stream. */
class StreamTimingTest {
  private static final long MILLI = 1_000_000;

  private final StreamTiming timing = new StreamTiming(100 * MILLI);

  @Test
  void reportsTheLongestPauseAndTheEventsBeforeIt() {
    timing.recordEvents(1, 350 * MILLI);
    timing.recordEvents(2, 400 * MILLI);
    timing.recordEvents(1, 900 * MILLI);
    timing.recordEvents(1, 950 * MILLI);
    assertThat(timing.eventCount()).isEqualTo(5);
    assertThat(timing.firstEventMillis()).isEqualTo(250);
    assertThat(timing.longestPauseNanos()).isEqualTo(500 * MILLI);
    assertThat(timing.eventsBeforeLongestPause()).isEqualTo(3);
  }

  @Test
  void reportsZeroForAStreamWithoutEvents() {
    assertThat(timing.firstEventMillis()).isEqualTo(0);
    assertThat(timing.longestPauseNanos()).isEqualTo(0);
  }
}
