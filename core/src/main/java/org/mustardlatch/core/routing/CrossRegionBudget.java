package org.mustardlatch.core.routing;

import org.mustardlatch.core.manifest.CrossRegionLink;

/** Token bucket of the bytes that this node may send over the link between the regions. */
final class CrossRegionBudget {
  private double bytesPerSecond;
  private double availableBytes;
  private long lastRefillNanos = Long.MIN_VALUE;

  /**
   * Sets the rate at which the budget is refilled.
   *
   * @param nodes number of live nodes of this region, which share the link equally
   */
  void configure(CrossRegionLink link, int nodes) {
    bytesPerSecond = link.bytesPerSecond() * link.budgetFraction() / Math.max(1, nodes);
  }

  /** Acquires bytes; returns false and acquires none if the budget is too low. */
  boolean acquire(double requestedBytes, long now) {
    if (lastRefillNanos != Long.MIN_VALUE) {
      // The budget is capped at one second of the rate, because the link is shared.
      availableBytes =
          Math.min(bytesPerSecond, availableBytes + bytesPerSecond * (now - lastRefillNanos) / 1e9);
    } else {
      availableBytes = bytesPerSecond;
    }
    lastRefillNanos = now;
    if (requestedBytes > availableBytes) {
      return false;
    }
    availableBytes -= requestedBytes;
    return true;
  }

  /** Releases bytes that were acquired and not sent. */
  void release(double unusedBytes) {
    availableBytes = Math.min(bytesPerSecond, availableBytes + unusedBytes);
  }
}
