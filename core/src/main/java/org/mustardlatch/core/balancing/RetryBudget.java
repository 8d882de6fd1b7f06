package org.mustardlatch.core.balancing;

/**
 * Repeats of requests that a node may send to one service, as a fraction of its own requests to it.
 * Because it is a fraction of local traffic and the initial units are few, the sum over all nodes
 * keeps the fleet's bound without messages.
 */
public final class RetryBudget {
  private double capacity;
  private double units;

  /**
   * Creates a budget.
   *
   * @param initial units at the start, so that a failure right after the start can be repeated
   * @param capacity most units that are saved up; bounds a burst of repeats
   */
  public RetryBudget(double initial, double capacity) {
    this.units = initial;
    this.capacity = capacity;
  }

  /**
   * Takes note of a request of a caller.
   *
   * @param fraction units that it earns, 0 to 1
   */
  public void deposit(double fraction) {
    units = Math.min(capacity, units + fraction);
  }

  /**
   * Changes how many units are saved up; those beyond are lost.
   *
   * @param most at least 0
   */
  public void setCapacity(double most) {
    capacity = most;
    units = Math.min(units, most);
  }

  /** Takes one unit; returns false when there is none. */
  public boolean tryAcquire() {
    if (units < 1) {
      return false;
    }
    units -= 1;
    return true;
  }
}
