package org.mustardlatch.core.orders;

import java.time.Duration;

/**
 * Durations of an order lease, all greater than zero.
 *
 * @param term how long a lease is valid after the write that acquired or renewed it was sent
 * @param renewalInterval time between renewals; less than half of the term
 * @param sendTimeout how long the sender of an order waits for its completion; also the wait after
 *     a failed read or write of the lease object
 * @param safetyMargin allowance for the rate difference of two monotonic clocks and for the time
 *     between the check of the lease and the sending of an order; greater than the send timeout
 */
public record LeaseTimes(
    Duration term, Duration renewalInterval, Duration sendTimeout, Duration safetyMargin) {
  /**
   * The default durations. After its holder died, another node takes over the lease 14 s after it
   * first read the last version that the holder wrote. Renewals cost 0.2 writes per second.
   */
  public static final LeaseTimes DEFAULT =
      new LeaseTimes(
          Duration.ofSeconds(12),
          Duration.ofSeconds(5),
          Duration.ofSeconds(1),
          Duration.ofSeconds(2));

  /** Validates that a lease can be renewed before it ends and that the margin covers a send. */
  public LeaseTimes {
    if (renewalInterval.multipliedBy(2).compareTo(term) >= 0) {
      throw new IllegalArgumentException("renewalInterval must be less than half of the term");
    }
    if (safetyMargin.compareTo(sendTimeout) <= 0) {
      throw new IllegalArgumentException("safetyMargin must be greater than sendTimeout");
    }
  }
}
