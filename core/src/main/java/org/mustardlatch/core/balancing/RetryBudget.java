package org.mustardlatch.core.balancing;

/**
 * Budget of extra requests (retries or hedges) that a node may send, as a fraction of the requests
 * of its own callers; one for each application service, and one each for the retries and the hedges
 * of generation requests. Because each node counts only its local traffic and starts with few
 * units, the sum over all nodes stays within the bound of the fleet without any messages.
 */
public final class RetryBudget {
  private double capacity;
  private double units;

  /**
   * Creates a budget.
   *
   * @param initial units at the start, so that a request that fails right after the start can be
   *     retried
   * @param capacity maximum number of accumulated units; bounds a burst of retries
   */
  public RetryBudget(double initial, double capacity) {
    this.units = initial;
    this.capacity = capacity;
  }

  /**
   * Deposits units for one request of a caller.
   *
   * @param fraction units to deposit, 0 to 1
   */
  public void deposit(double fraction) {
    units = Math.min(capacity, units + fraction);
  }

  /**
   * Changes the capacity and discards units above it.
   *
   * @param newCapacity maximum number of accumulated units, at least 0
   */
  public void setCapacity(double newCapacity) {
    capacity = newCapacity;
    units = Math.min(units, newCapacity);
  }

  /** Acquires one unit; returns false if there is none. */
  public boolean tryAcquire() {
    return tryAcquireAbove(0);
  }

  /**
   * Acquires one unit if enough others remain.
   *
   * @param reserve units that must remain, at least 0
   * @return whether a unit was acquired
   */
  public boolean tryAcquireAbove(double reserve) {
    if (units < 1 + reserve) {
      return false;
    }
    units -= 1;
    return true;
  }
}
