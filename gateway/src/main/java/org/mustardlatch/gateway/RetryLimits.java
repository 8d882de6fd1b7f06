package org.mustardlatch.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.balancing.RetryBudget;

/** Limits on repeated requests: this node's retry budget and the Retry-After time of callers. */
final class RetryLimits {
  // Each node gets an equal share of the fleet's extra retries. A node that sees few others may be
  // partitioned from the rest, so it assumes a fleet of at least this size.
  private static final int MIN_NODES = 10;
  // Callers respect a Retry-After time of up to a third of their remaining time. A divisor of 3.2
  // stays below that limit.
  private static final double REMAINING_TIME_DIVISOR = 3.2;
  private static final long MIN_RETRY_AFTER_MILLIS = 20;

  private RetryLimits() {}

  /**
   * Returns one node's retry budget for one service.
   *
   * @param nodes number of live nodes as last observed by this node
   */
  static RetryBudget budgetPerNode(GatewaySettings settings, int nodes) {
    double units = unitsPerNode(settings, nodes);
    // With a capacity below one unit no request could ever be retried.
    return new RetryBudget(units / 2, Math.max(1, units));
  }

  /**
   * Returns the units of a node's budget that are kept for requests whose upstream failed. Without
   * them, a crash that follows some slow responses could not be hidden from callers.
   *
   * @param nodes number of live nodes as last observed by this node
   */
  static double unitsForFailures(GatewaySettings settings, int nodes) {
    return unitsPerNode(settings, nodes) / 2;
  }

  private static double unitsPerNode(GatewaySettings settings, int nodes) {
    return settings.retryBudgetExtra() / Math.max(MIN_NODES, nodes);
  }

  /**
   * Returns a random Retry-After time that spreads the retries of refused callers over a part of
   * their remaining time.
   *
   * @param now monotonic time, nanoseconds
   */
  static Duration retryAfter(RoutedExchange exchange, long now, RandomGenerator random) {
    long limit = (long) ((exchange.deadlineNanos() - now) / 1e6 / REMAINING_TIME_DIVISOR);
    long longest = Math.max(limit, MIN_RETRY_AFTER_MILLIS);
    return Duration.ofMillis(random.nextLong(longest / 3, longest + 1));
  }
}
