package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against log lines that blame the wrong part of a slow stream. */
class StreamTimesTest {
  private static final long MILLI = 1_000_000;

  private final StreamTimes times = new StreamTimes(100 * MILLI);

  @Test
  void theLongestPauseIsToldWithItsPlace() {
    times.passed(1, 350 * MILLI);
    times.passed(2, 400 * MILLI);
    times.passed(1, 900 * MILLI);
    times.passed(1, 950 * MILLI);
    assertThat(times.events()).isEqualTo(5);
    assertThat(times.firstMillis()).isEqualTo(250);
    assertThat(times.longestPauseNanos()).isEqualTo(500 * MILLI);
    assertThat(times.longestPauseAfter()).isEqualTo(3);
  }

  @Test
  void aStreamWithoutEventsHasNoTimes() {
    assertThat(times.firstMillis()).isEqualTo(0);
    assertThat(times.longestPauseNanos()).isEqualTo(0);
  }
}
