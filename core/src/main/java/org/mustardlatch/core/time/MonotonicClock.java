package org.mustardlatch.core.time;

/** A clock for durations. Values of two processes must not be compared. */
@FunctionalInterface
public interface MonotonicClock {
  /** Returns the current time in nanoseconds since an arbitrary origin; never goes back. */
  long nanos();
}
