package org.mustardlatch.core.lifecycle;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.lifecycle.PlannedStop.Phase;

/** Guards against a stopping node that accepts what it can't finish, or refuses what it can. */
class PlannedStopTest {
  private static final long SECOND = 1_000_000_000;

  /** Monotonic times may be negative. */
  private static final long START = -4 * SECOND;

  private final PlannedStop stop = new PlannedStop(Duration.ofSeconds(3), Duration.ofSeconds(8));

  @Test
  void passesThroughItsPhasesByTime() {
    assertThat(stop.phase(START)).isEqualTo(Phase.SERVING);
    assertThat(stop.request(START)).isTrue();
    assertThat(stop.phase(START + 3 * SECOND - 1)).isEqualTo(Phase.WITHDRAWING);
    assertThat(stop.phase(START + 3 * SECOND)).isEqualTo(Phase.FINISHING);
    assertThat(stop.phase(START + 8 * SECOND - 1)).isEqualTo(Phase.FINISHING);
    assertThat(stop.phase(START + 8 * SECOND)).isEqualTo(Phase.ENDING);
  }

  @Test
  void laterRequestDoesNotProlongTheStop() {
    assertThat(stop.request(START)).isTrue();
    assertThat(stop.request(START + 2 * SECOND)).isFalse();
    assertThat(stop.phase(START + 3 * SECOND)).isEqualTo(Phase.FINISHING);
  }

  @Test
  void acceptsEverythingUntilTheLoadBalancerHasNoticed() {
    assertThat(stop.accepts(START, START + 60 * SECOND)).isTrue();
    stop.request(START);
    assertThat(stop.accepts(START + 3 * SECOND - 1, START + 60 * SECOND)).isTrue();
  }

  @Test
  void acceptsOnlyWhatEndsInTimeWhileItFinishes() {
    stop.request(START);
    assertThat(stop.accepts(START + 3 * SECOND, START + 8 * SECOND)).isTrue();
    assertThat(stop.accepts(START + 3 * SECOND, START + 8 * SECOND + 1)).isFalse();
  }

  @Test
  void acceptsNothingAtItsEnd() {
    stop.request(START);
    assertThat(stop.accepts(START + 8 * SECOND, START + 8 * SECOND)).isFalse();
    assertThat(stop.endsInTime(START + 8 * SECOND, START + 8 * SECOND)).isFalse();
  }

  @Test
  void tellsWhichRequestsEndBeforeIt() {
    assertThat(stop.endsInTime(START, START + 60 * SECOND)).isTrue();
    stop.request(START);
    assertThat(stop.endsInTime(START, START + 8 * SECOND)).isTrue();
    assertThat(stop.endsInTime(START, START + 8 * SECOND + 1)).isFalse();
  }

  @Test
  void refusesTimesThatLeaveNoTimeToFinish() {
    assertThrows(
        IllegalArgumentException.class,
        () -> new PlannedStop(Duration.ofSeconds(3), Duration.ofSeconds(2)));
  }
}
