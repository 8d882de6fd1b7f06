package org.mustardlatch.core.budget;

import java.time.Duration;

/**
 * Terms of one budget.
 *
 * @param unitsPerSecond units that all nodes of the region together may spend per second, at least
 *     0
 * @param leaseTime how long a lease may be spent; also the time for which an idle budget saves up
 */
public record BudgetTerms(double unitsPerSecond, Duration leaseTime) {
  /** Lease time of the design; a longer one costs fewer messages and gives a larger error. */
  public static final Duration DEFAULT_LEASE_TIME = Duration.ofSeconds(1);

  /** Checks the values; throws {@link IllegalArgumentException} when one is out of range. */
  public BudgetTerms {
    if (!(unitsPerSecond >= 0) || Double.isInfinite(unitsPerSecond)) {
      throw new IllegalArgumentException(
          "units per second must be a number of at least 0, got " + unitsPerSecond);
    }
    if (leaseTime.isNegative() || leaseTime.isZero()) {
      throw new IllegalArgumentException("lease time must be greater than 0, got " + leaseTime);
    }
  }

  /** Returns terms with the default lease time. */
  public static BudgetTerms perSecond(double unitsPerSecond) {
    return new BudgetTerms(unitsPerSecond, DEFAULT_LEASE_TIME);
  }

  /** Returns the units that an idle budget saves up; at least 1, so that slow budgets work. */
  double capacity() {
    return Math.max(1, unitsPerSecond * leaseTime.toNanos() / 1e9);
  }
}
