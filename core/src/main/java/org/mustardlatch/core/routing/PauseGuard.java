package org.mustardlatch.core.routing;

/** Finds out that this node was paused so long that others may have declared it dead. */
final class PauseGuard {
  // Membership declares a node dead 8 s after its last sign of life at the earliest (3 s of missed
  // heartbeats, 5 s to refute). The guard acts before that.
  static final long MAX_PAUSE_NANOS = 6_000_000_000L;

  private long lastNanos = Long.MIN_VALUE;

  /** Returns whether the time since the last call was a pause. */
  boolean paused(long now) {
    boolean paused = lastNanos != Long.MIN_VALUE && now - lastNanos >= MAX_PAUSE_NANOS;
    lastNanos = now;
    return paused;
  }
}
