package org.mustardlatch.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.balancing.RepeatBudget;

/** Shares of fleet-wide budgets, and when refused callers come back. */
final class Budgets {
  // Usual number of nodes of a fleet; each starts with an equal part of the extra repeats.
  private static final double USUAL_NODES = 10;
  // Callers heed a time of up to a third of what they have left.
  private static final double HEEDED_PART = 3.2;
  private static final long MIN_COME_BACK_MILLIS = 20;

  private Budgets() {}

  static RepeatBudget ofNode(GatewaySettings settings) {
    double units = Math.max(1, settings.repeatExtra() / USUAL_NODES);
    return new RepeatBudget(units / 2, units);
  }

  /** Returns a time that spreads the return of refused callers over what they have left. */
  static Duration comeBack(Exchange exchange, long now, RandomGenerator random) {
    long left = (long) ((exchange.endNanos() - now) / 1e6 / HEEDED_PART);
    long most = Math.max(left, MIN_COME_BACK_MILLIS);
    return Duration.ofMillis(random.nextLong(most / 3, most + 1));
  }
}
