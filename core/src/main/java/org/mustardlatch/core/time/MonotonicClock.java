package org.mustardlatch.core.time;

/**
 * A monotonic clock for measuring durations. Readings of different processes are not comparable.
 */
@FunctionalInterface
public interface MonotonicClock {
  /** Returns the nanoseconds since an arbitrary origin; the value never decreases. */
  long nanos();
}
