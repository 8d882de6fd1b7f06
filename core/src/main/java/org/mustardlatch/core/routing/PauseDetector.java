package org.mustardlatch.core.routing;

/** Finds out that this node was paused, from the time between the events that it handles. */
final class PauseDetector {
  /** What happened since the event before. */
  enum PauseState {
    /** The node ran. */
    RUNNING,
    /** Messages that wait to be handled are old, but the node still counts as alive. */
    SHORT_PAUSE,
    /** Others may have declared the node dead. */
    LONG_PAUSE
  }

  // The node's own timer fires every 100 ms. Grants older than this may name upstreams that have
  // become unusable, which news behind them in the input tells.
  private static final long SHORT_PAUSE_NANOS = 2_000_000_000;

  // Membership declares a node dead 8 s after its last sign of life at the earliest (3 s of missed
  // heartbeats, 5 s to refute). The guard acts before that.
  private static final long LONG_PAUSE_NANOS = 6_000_000_000L;

  private long lastEventNanos = Long.MIN_VALUE;

  /** Returns what happened since the last call. */
  PauseState recordEvent(long now) {
    long gap = lastEventNanos == Long.MIN_VALUE ? 0 : now - lastEventNanos;
    lastEventNanos = now;
    if (gap >= LONG_PAUSE_NANOS) {
      return PauseState.LONG_PAUSE;
    }
    return gap >= SHORT_PAUSE_NANOS ? PauseState.SHORT_PAUSE : PauseState.RUNNING;
  }
}
