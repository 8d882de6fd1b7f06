package org.mustardlatch.core.routing;

import org.mustardlatch.core.manifest.CrossRegionLink;

/** Bytes that this node may send over the link between the regions. */
final class CrossRegionBudget {
  private double rate;
  private double bytes;
  private long atNanos = Long.MIN_VALUE;

  /**
   * Sets the rate.
   *
   * @param nodes live nodes of this region, which share the link
   */
  void configure(CrossRegionLink link, int nodes) {
    rate = link.bytesPerSecond() * link.budgetFraction() / Math.max(1, nodes);
  }

  /** Takes bytes; returns false, and takes nothing, when the budget does not hold them. */
  boolean take(double wanted, long now) {
    if (atNanos != Long.MIN_VALUE) {
      // At most one second's worth is saved up, as with any shared budget.
      bytes = Math.min(rate, bytes + rate * (now - atNanos) / 1e9);
    } else {
      bytes = rate;
    }
    atNanos = now;
    if (wanted > bytes) {
      return false;
    }
    bytes -= wanted;
    return true;
  }

  /** Returns bytes that were taken and not sent. */
  void giveBack(double unused) {
    bytes = Math.min(rate, bytes + unused);
  }
}
