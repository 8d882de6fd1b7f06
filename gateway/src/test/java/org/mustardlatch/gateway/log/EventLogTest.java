package org.mustardlatch.gateway.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against names that forge or flood the log, and exceptions without their place. */
class EventLogTest {
  @Test
  void textWithLineBreaksStaysOnOneLine() {
    assertThat(EventLog.printable("a\nERROR b\u001b[2J")).isEqualTo("a\\u000aERROR b\\u001b[2J");
    assertThat(EventLog.printable("språk")).isEqualTo("språk");
  }

  @Test
  void longTextIsCut() {
    String printed = String.valueOf(EventLog.printable("x".repeat(100_000)));

    assertThat(printed.length()).isLessThan(600);
    assertThat(printed).endsWith("...");
  }

  @Test
  void exceptionIsNamedWithItsPlace() {
    String printed = String.valueOf(EventLog.printable(new IllegalStateException("a\nb")));

    assertThat(printed).contains("IllegalStateException: a\\u000ab at ");
    assertThat(printed).contains("EventLogTest.exceptionIsNamedWithItsPlace");
    assertThat(printed).doesNotContain("\n");
  }
}
