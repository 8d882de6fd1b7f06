package org.mustardlatch.core.routing;

/** Detects pauses of this node by long gaps between the events that it handles. */
final class PauseDetector {
  /** The state of the node since the previous event. */
  enum PauseState {
    /** The node ran without a pause. */
    RUNNING,
    /** Pending messages may be outdated, but the other nodes still consider this node alive. */
    SHORT_PAUSE,
    /** Other nodes may have declared this node dead. */
    LONG_PAUSE
  }

  // The node's own timer fires every 100 ms, so a much longer gap is a pause. Pending grants may
  // then name upstreams that have become unusable, which messages later in the input report.
  private static final long SHORT_PAUSE_NANOS = 2_000_000_000;

  // Membership declares a node dead 8 s after its last heartbeat at the earliest (3 s of missed
  // heartbeats, 5 s to refute the suspicion). The node must act on a pause before that.
  private static final long LONG_PAUSE_NANOS = 6_000_000_000L;

  private long lastEventNanos = Long.MIN_VALUE;

  /** Records an event and classifies the time since the previous one. */
  PauseState recordEvent(long now) {
    long gap = lastEventNanos == Long.MIN_VALUE ? 0 : now - lastEventNanos;
    lastEventNanos = now;
    if (gap >= LONG_PAUSE_NANOS) {
      return PauseState.LONG_PAUSE;
    }
    return gap >= SHORT_PAUSE_NANOS ? PauseState.SHORT_PAUSE : PauseState.RUNNING;
  }
}
