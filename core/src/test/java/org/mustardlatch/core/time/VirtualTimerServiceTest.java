package org.mustardlatch.core.time;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against non-deterministic replays: the order of events must depend only on due times and
 * the order of scheduling.
 */
class VirtualTimerServiceTest {
  private final VirtualTimerService timers = new VirtualTimerService();
  private final List<String> calls = new ArrayList<>();

  private void record(String name) {
    calls.add(name + "@" + timers.nanos() / 1_000_000);
  }

  @Test
  void tasksRunInOrderOfDueTimeAndThenOfScheduling() {
    timers.schedule(Duration.ofMillis(20), () -> record("late"));
    timers.schedule(Duration.ofMillis(10), () -> record("first"));
    timers.schedule(Duration.ofMillis(10), () -> record("second"));
    timers.advance(Duration.ofMillis(30));
    assertThat(calls).containsExactly("first@10", "second@10", "late@20").inOrder();
    assertThat(timers.nanos()).isEqualTo(30_000_000);
  }

  @Test
  void cancelledTaskDoesNotRun() {
    timers.schedule(Duration.ofMillis(10), () -> record("x")).cancel();
    timers.advance(Duration.ofMillis(30));
    assertThat(calls).isEmpty();
  }

  @Test
  void repeatingTaskRunsEveryPeriodUntilItCancelsItself() {
    List<TimerSubscription> subscriptions = new ArrayList<>();
    subscriptions.add(
        timers.scheduleRepeating(
            Duration.ofMillis(10),
            () -> {
              record("tick");
              if (calls.size() == 3) {
                subscriptions.get(0).cancel();
              }
            }));
    timers.advance(Duration.ofMillis(100));
    assertThat(calls).containsExactly("tick@10", "tick@20", "tick@30").inOrder();
  }

  @Test
  void zeroPeriodIsRejected() {
    IllegalArgumentException e =
        assertThrows(
            IllegalArgumentException.class,
            () -> timers.scheduleRepeating(Duration.ZERO, () -> record("x")));
    assertThat(e).hasMessageThat().isEqualTo("period must be greater than zero, got PT0S");
  }
}
