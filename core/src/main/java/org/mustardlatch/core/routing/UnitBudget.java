package org.mustardlatch.core.routing;

/**
 * Extra attempts that a node may make, as a fraction of its own first attempts. Because it is a
 * fraction of local traffic, the sum over all nodes keeps the fleet-wide bound without messages.
 */
final class UnitBudget {
  private final double capacity;
  private double units;

  /**
   * Creates a budget.
   *
   * @param initial units at the start, so that a failure right after the start can be retried
   * @param capacity most units that are saved up; bounds a burst of extra attempts
   */
  UnitBudget(double initial, double capacity) {
    this.units = initial;
    this.capacity = capacity;
  }

  void earn(double fraction) {
    units = Math.min(capacity, units + fraction);
  }

  /** Takes one unit; returns false when there is none. */
  boolean take() {
    if (units < 1) {
      return false;
    }
    units -= 1;
    return true;
  }
}
