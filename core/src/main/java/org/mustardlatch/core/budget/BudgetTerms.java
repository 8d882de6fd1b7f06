package org.mustardlatch.core.budget;

import java.time.Duration;

/**
 * Rate and lease time of one budget.
 *
 * @param unitsPerSecond units that all nodes of the region together may spend per second, at least
 *     0
 * @param leaseTime time for which a lease may be spent; also the time for which an idle budget
 *     accumulates units
 */
public record BudgetTerms(double unitsPerSecond, Duration leaseTime) {
  /**
   * Default lease time; a longer one needs fewer messages and increases the error (see {@link
   * BudgetOwner}).
   */
  public static final Duration DEFAULT_LEASE_TIME = Duration.ofSeconds(1);

  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
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

  /**
   * Returns the units that an idle budget accumulates; at least 1, so that budgets with a low rate
   * can grant whole units.
   */
  double capacity() {
    return Math.max(1, unitsPerSecond * leaseTime.toNanos() / 1e9);
  }
}
