package org.mustardlatch.core.balancing;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.balancing.HedgePolicy.Decision;

/** Guards against copies that do not cut slow responses, or cost more than operators accept. */
class HedgePolicyTest {
  private static final long MILLI = 1_000_000;
  private static final int REQUESTS = 20_000;

  /** Response times in milliseconds and copies of a simulated load. */
  private record Outcome(List<Double> millis, int copies) {
    double percentile(double p) {
      return millis.stream().sorted().toList().get((int) (p / 100 * (millis.size() - 1)));
    }
  }

  /** One upstream in 33 takes ten times as long as the others; a copy goes to another one. */
  private static Outcome play(double maxShare, boolean room) {
    var random = new SplittableRandom(7);
    var policy = new HedgePolicy(maxShare, 0);
    List<Double> times = new ArrayList<>();
    int copies = 0;
    long now = 0;
    for (int i = 0; i < REQUESTS; i++) {
      now += 20 * MILLI;
      policy.requestReceived();
      long first = serviceNanos(random);
      long response = first;
      var delay = policy.delayNanos(now);
      if (delay.isPresent()
          && first > delay.getAsLong()
          && policy.requestCopy(room) == Decision.SEND) {
        copies++;
        response = Math.min(first, delay.getAsLong() + serviceNanos(random));
      }
      policy.responseTimeObserved(response, now);
      times.add(response / 1e6);
    }
    return new Outcome(times, copies);
  }

  private static long serviceNanos(SplittableRandom random) {
    long nanos = (long) ((10 + 10 * random.nextDouble()) * MILLI);
    return random.nextInt(33) == 0 ? 10 * nanos : nanos;
  }

  @Test
  void copiesCutTheSlowestResponsesWithinTheShare() {
    Outcome without = play(0, true);
    Outcome with = play(0.05, true);

    assertThat(without.copies()).isEqualTo(0);
    assertThat(with.copies()).isAtMost((int) (0.05 * REQUESTS));
    assertThat(with.percentile(99)).isLessThan(without.percentile(99) / 2);
    assertThat(with.percentile(50)).isWithin(0.5).of(without.percentile(50));
  }

  @Test
  void sendsNoCopyWhileUpstreamsHaveNoRoom() {
    assertThat(play(0.05, false).copies()).isEqualTo(0);
  }

  @Test
  void aBurstOfSlowResponsesDoesNotExceedTheShare() {
    var policy = new HedgePolicy(0.1, 0);
    int sent = 0;
    for (int i = 0; i < 100; i++) {
      policy.requestReceived();
      sent += policy.requestCopy(true) == Decision.SEND ? 1 : 0;
    }
    assertThat(sent).isAtMost(10);
  }

  @Test
  void waitsForEnoughResponseTimesAndForgetsOldOnes() {
    var policy = new HedgePolicy(0.05, 0);
    for (int i = 0; i < HedgePolicy.MIN_SAMPLES - 1; i++) {
      policy.responseTimeObserved(10 * MILLI, 0);
    }
    assertThat(policy.delayNanos(0).isPresent()).isFalse();
    policy.responseTimeObserved(10 * MILLI, 0);
    assertThat(policy.delayNanos(0).isPresent()).isTrue();
    assertThat(policy.delayNanos(3 * HedgePolicy.WINDOW_NANOS).isPresent()).isFalse();
  }

  @Test
  void rejectsAShareThatIsNone() {
    assertThrows(IllegalArgumentException.class, () -> new HedgePolicy(1.5, 0));
    assertThrows(IllegalArgumentException.class, () -> new HedgePolicy(Double.NaN, 0));
  }
}
