package org.mustardlatch.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.balancing.RetryBudget;

/** Shares of fleet-wide budgets, and when refused callers come back. */
final class Budgets {
  // Each node has an equal part of the extra repeats; one that sees few others may be cut off.
  private static final int LEAST_NODES = 10;
  // Callers heed a time of up to a third of what they have left.
  private static final double HEEDED_PART = 3.2;
  private static final long MIN_COME_BACK_MILLIS = 20;

  private Budgets() {}

  /**
   * Returns the part of a node.
   *
   * @param nodes live nodes of the fleet as far as this one knows
   */
  static RetryBudget ofNode(GatewaySettings settings, int nodes) {
    double units = settings.repeatExtra() / Math.max(LEAST_NODES, nodes);
    // Below one unit nothing could ever be repeated.
    return new RetryBudget(units / 2, Math.max(1, units));
  }

  /** Returns a time that spreads the return of refused callers over what they have left. */
  static Duration comeBack(Exchange exchange, long now, RandomGenerator random) {
    long left = (long) ((exchange.endNanos() - now) / 1e6 / HEEDED_PART);
    long most = Math.max(left, MIN_COME_BACK_MILLIS);
    return Duration.ofMillis(random.nextLong(most / 3, most + 1));
  }
}
