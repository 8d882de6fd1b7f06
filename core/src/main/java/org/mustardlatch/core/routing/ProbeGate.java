package org.mustardlatch.core.routing;

/** Spaces the requests that find out whether a straggler has recovered. */
final class ProbeGate {
  private static final long FIRST_INTERVAL_NANOS = 2_000_000_000L;
  // Every probe may cost a caller its deadline, so a lasting straggler is probed ever more seldom.
  private static final long MAX_INTERVAL_NANOS = 16_000_000_000L;

  private long nextNanos = Long.MIN_VALUE;
  private long intervalNanos = FIRST_INTERVAL_NANOS;
  private boolean straggling;

  /** Returns whether a probe may be sent; the first time starts the interval. */
  boolean due(long now) {
    if (!straggling) {
      straggling = true;
      intervalNanos = FIRST_INTERVAL_NANOS;
      nextNanos = now + intervalNanos;
    }
    return now >= nextNanos;
  }

  void sent(long now) {
    intervalNanos = Math.min(2 * intervalNanos, MAX_INTERVAL_NANOS);
    nextNanos = now + intervalNanos;
  }

  void recovered() {
    straggling = false;
  }
}
