package org.mustardlatch.core.routing;

/** Limits the rate of probes, the requests that test whether a slow engine has recovered. */
final class ProbeLimiter {
  private static final long FIRST_INTERVAL_NANOS = 2_000_000_000L;
  // A probe may cause a caller to miss its deadline, so an engine that stays slow is probed at
  // increasing intervals.
  private static final long MAX_INTERVAL_NANOS = 16_000_000_000L;

  private long nextProbeNanos = Long.MIN_VALUE;
  private long intervalNanos = FIRST_INTERVAL_NANOS;
  private boolean engineSlow;

  /**
   * Returns whether a probe may be sent to an engine that is slow. The first call after the engine
   * became slow starts the interval.
   */
  boolean mayProbe(long now) {
    if (!engineSlow) {
      engineSlow = true;
      intervalNanos = FIRST_INTERVAL_NANOS;
      nextProbeNanos = now + intervalNanos;
    }
    return now >= nextProbeNanos;
  }

  /** Doubles the interval up to its maximum after a probe. */
  void probeSent(long now) {
    intervalNanos = Math.min(2 * intervalNanos, MAX_INTERVAL_NANOS);
    nextProbeNanos = now + intervalNanos;
  }

  /** Resets the interval, as the engine is not slow any more. */
  void engineRecovered() {
    engineSlow = false;
  }
}
