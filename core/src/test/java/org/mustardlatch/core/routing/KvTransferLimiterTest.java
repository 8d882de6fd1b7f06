package org.mustardlatch.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.mustardlatch.core.routing.Fixtures.MILLI;
import static org.mustardlatch.core.routing.Fixtures.SECOND;

import org.junit.jupiter.api.Test;

/**
 * Guards against predicted transfer times that are wrong after a time without streams: too short
 * ones make the engine that is observed next seem slow, too long ones get requests refused.
 */
class KvTransferLimiterTest {
  private static final long BYTES = 1_000_000;

  private final KvTransferLimiter limiter = new KvTransferLimiter();
  private long now = 1000 * SECOND;

  private void transfer(long millis) {
    now += SECOND;
    limiter.recordTransfer(BYTES, millis * MILLI, now);
  }

  private void pass(long nanos) {
    long end = now + nanos;
    while (now < end) {
      now += 100 * MILLI;
      limiter.decayEstimate(now);
    }
  }

  private double predictedMillis() {
    return (double) limiter.predictedTransferNanos(BYTES) / MILLI;
  }

  @Test
  void staysAtTheFastestTransfersWhileNoStreamRuns() {
    for (int i = 0; i < 20; i++) {
      transfer(i % 2 == 0 ? 160 : 180);
    }
    pass(60 * SECOND);

    assertThat(predictedMillis()).isAtLeast(159);
    assertThat(predictedMillis()).isAtMost(180);
  }

  @Test
  void forgetsASlowTimeWhileNoStreamRuns() {
    transfer(20);
    for (int i = 0; i < 10; i++) {
      transfer(390);
    }
    assertThat(predictedMillis()).isAtLeast(300);
    pass(5 * SECOND);

    assertThat(predictedMillis()).isAtMost(100);
  }

  @Test
  void followsLinksThatHaveBecomeSlower() {
    transfer(20);
    for (int i = 0; i < 200; i++) {
      transfer(200);
    }
    pass(60 * SECOND);

    assertThat(predictedMillis()).isAtLeast(190);
  }

  @Test
  void predictsNothingBeforeTheFirstTransfer() {
    pass(SECOND);

    assertThat(predictedMillis()).isEqualTo(0);
  }
}
