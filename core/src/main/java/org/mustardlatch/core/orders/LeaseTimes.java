package org.mustardlatch.core.orders;

import java.time.Duration;

/**
 * Times of an order lease, all greater than zero.
 *
 * @param term how long a lease lasts after the write that acquired or renewed it was sent
 * @param renewEvery time between renewals; less than half of the term
 * @param sendTimeout how long an order may be on its way before its sender gives it up
 * @param margin reserve for the difference between the rates of two monotonic clocks and for the
 *     time between the check of the lease and sending
 */
public record LeaseTimes(
    Duration term, Duration renewEvery, Duration sendTimeout, Duration margin) {
  /** A pool has a new holder 14 s after the old one died; renewals cost 0.2 writes a second. */
  public static final LeaseTimes DEFAULT =
      new LeaseTimes(
          Duration.ofSeconds(12),
          Duration.ofSeconds(5),
          Duration.ofSeconds(1),
          Duration.ofSeconds(2));

  /** Checks that a lease can be renewed in time and that the margin covers a send. */
  public LeaseTimes {
    if (renewEvery.multipliedBy(2).compareTo(term) >= 0) {
      throw new IllegalArgumentException("renewEvery must be less than half of the term");
    }
    if (margin.compareTo(sendTimeout) <= 0) {
      throw new IllegalArgumentException("the margin must be larger than the send timeout");
    }
  }
}
