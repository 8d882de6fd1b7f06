package org.mustardlatch.core.routing;

import org.mustardlatch.core.manifest.CrossRegionLink;

/** Bytes that this node may send over the link between the regions. */
final class CrossRegionBudget {
  private double bytesPerSecond;
  private double availableBytes;
  private long lastRefillNanos = Long.MIN_VALUE;

  /**
   * Sets the rate.
   *
   * @param nodes live nodes of this region, which share the link
   */
  void configure(CrossRegionLink link, int nodes) {
    bytesPerSecond = link.bytesPerSecond() * link.budgetFraction() / Math.max(1, nodes);
  }

  /** Takes bytes; returns false, and takes nothing, when the budget does not hold them. */
  boolean acquire(double wanted, long now) {
    if (lastRefillNanos != Long.MIN_VALUE) {
      // At most one second's worth is saved up, as with any shared budget.
      availableBytes = Math.min(bytesPerSecond, availableBytes + bytesPerSecond * (now - lastRefillNanos) / 1e9);
    } else {
      availableBytes = bytesPerSecond;
    }
    lastRefillNanos = now;
    if (wanted > availableBytes) {
      return false;
    }
    availableBytes -= wanted;
    return true;
  }

  /** Returns bytes that were taken and not sent. */
  void release(double unused) {
    availableBytes = Math.min(bytesPerSecond, availableBytes + unused);
  }
}
