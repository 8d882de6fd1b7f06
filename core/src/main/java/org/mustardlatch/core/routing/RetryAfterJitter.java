package org.mustardlatch.core.routing;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Draws random {@code Retry-After} durations, so that refused callers do not return at the same
 * time. The range grows with the excess load.
 */
final class RetryAfterJitter {
  private static final long MIN_RETRY_AFTER_NANOS = 500_000_000;
  private static final long MAX_RANGE_NANOS = 30_000_000_000L;

  private final RandomGenerator random;

  RetryAfterJitter(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns the duration after which the caller may send the request again. Only the ratio of the
   * parameters matters; 2 and 1 stand for twice the acceptable wait.
   *
   * @param waitNanos predicted wait of the refused request, nanoseconds
   * @param budgetNanos longest acceptable wait, nanoseconds
   */
  Duration draw(long waitNanos, long budgetNanos) {
    double excess = Math.max(1, (double) waitNanos / Math.max(1, budgetNanos));
    double range = Math.min(MAX_RANGE_NANOS, MIN_RETRY_AFTER_NANOS * (1 + 2 * excess));
    return Duration.ofNanos(MIN_RETRY_AFTER_NANOS + (long) (random.nextDouble() * range));
  }
}
