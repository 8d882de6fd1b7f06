package org.mustardlatch.core.routing;

/** Spaces the requests that find out whether a straggler has recovered. */
final class ProbeLimiter {
  private static final long FIRST_INTERVAL_NANOS = 2_000_000_000L;
  // Every probe may cost a caller its deadline, so a lasting straggler is probed ever more seldom.
  private static final long MAX_INTERVAL_NANOS = 16_000_000_000L;

  private long nextProbeNanos = Long.MIN_VALUE;
  private long intervalNanos = FIRST_INTERVAL_NANOS;
  private boolean engineSlow;

  /** Returns whether a probe may be sent; the first time starts the interval. */
  boolean mayProbe(long now) {
    if (!engineSlow) {
      engineSlow = true;
      intervalNanos = FIRST_INTERVAL_NANOS;
      nextProbeNanos = now + intervalNanos;
    }
    return now >= nextProbeNanos;
  }

  void probeSent(long now) {
    intervalNanos = Math.min(2 * intervalNanos, MAX_INTERVAL_NANOS);
    nextProbeNanos = now + intervalNanos;
  }

  void engineRecovered() {
    engineSlow = false;
  }
}
