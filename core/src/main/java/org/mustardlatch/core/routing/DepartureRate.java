package org.mustardlatch.core.routing;

/**
 * The rate at which decode slots of a cell become free, as an exponentially weighted mean over
 * windows of at least one second.
 */
final class DepartureRate {
  private static final long WINDOW_NANOS = 1_000_000_000;
  private static final double NEWEST_WEIGHT = 0.4;

  private double perSecond = -1;
  private int departuresInWindow;
  private long windowStartNanos = Long.MIN_VALUE;

  /** Records that a request finished and freed its slot. */
  void recordDeparture(long now) {
    advanceWindow(now);
    departuresInWindow++;
  }

  /**
   * Returns departures per second.
   *
   * @param initialRate the rate to return before a whole window was observed; a tenth of it is the
   *     lower bound afterwards
   */
  double perSecond(long now, double initialRate) {
    advanceWindow(now);
    return perSecond < 0 ? initialRate : Math.max(perSecond, initialRate * 0.1);
  }

  private void advanceWindow(long now) {
    if (windowStartNanos == Long.MIN_VALUE) {
      windowStartNanos = now;
      return;
    }
    long age = now - windowStartNanos;
    if (age >= WINDOW_NANOS) {
      double rate = departuresInWindow * 1e9 / age;
      perSecond = perSecond < 0 ? rate : perSecond + NEWEST_WEIGHT * (rate - perSecond);
      windowStartNanos = now;
      departuresInWindow = 0;
    }
  }
}
