package org.mustardlatch.core.budget;

import java.time.Duration;

/**
 * How far the requests of a workspace may exceed its allowance in any window.
 *
 * @param window length of the window
 * @param overage fraction of the units of a window and of the burst that may be spent in addition
 * @param tokenSlack tokens that may be spent in a window in addition, if tokens are counted
 */
public record QuotaBounds(Duration window, double overage, double tokenSlack) {
  /** The bounds of a platform that states none. */
  public static final QuotaBounds DEFAULT = new QuotaBounds(Duration.ofSeconds(8), 0.1, 0);

  /** Checks the values. */
  public QuotaBounds {
    if (window.isNegative() || window.isZero() || !(overage >= 0) || !(tokenSlack >= 0)) {
      throw new IllegalArgumentException(
          "bounds are window " + window + ", overage " + overage + ", slack " + tokenSlack);
    }
  }

  /**
   * Returns the units that may be granted in one window without knowledge of what other nodes
   * grant: the permitted excess less the error of leases, which is what the workspace may spend in
   * {@code leaseErrorTime}.
   */
  double reserve(Allowance allowance, Duration leaseErrorTime) {
    double slack = allowance.unit() == Allowance.Unit.TOKENS ? tokenSlack : 0;
    double leaseError = allowance.perSecond() * leaseErrorTime.toNanos() / 1e9;
    return Math.max(0, overage * windowUnits(allowance) + slack - leaseError);
  }

  /** Returns the units that the allowance permits in one window. */
  double windowUnits(Allowance allowance) {
    return allowance.perSecond() * window.toNanos() / 1e9 + allowance.burst();
  }
}
