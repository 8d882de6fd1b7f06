package org.mustardlatch.core.routing;

/**
 * Limits the attempts of a cell that are between their grant and the end of their KV transfer, and
 * predicts the duration of transfers. The manifest does not state the rate or the topology of links
 * within a region, so the limit adapts to observed durations: it decreases multiplicatively when
 * transfers approach the lifetime of an exported KV cache, and increases while they are short.
 */
final class KvTransferLimiter {
  private static final double NEWEST_WEIGHT = 0.2;
  // The lifetime of exported KV caches is 0.8 s; a transfer that takes half of that may soon fail.
  private static final long SLOW_TRANSFER_NANOS = 400_000_000;
  private static final long FAST_TRANSFER_NANOS = 200_000_000;
  private static final double DECREASE_FACTOR = 0.8;
  private static final double MIN_LIMIT = 2;
  private static final double MAX_LIMIT = 1024;
  // One congestion event slows several transfers, but must lower the limit only once.
  private static final long DECREASE_INTERVAL_NANOS = 400_000_000;

  // After this time without an observation, each tick (100 ms) reduces the estimate by a tenth.
  private static final long DECAY_AFTER_NANOS = 500_000_000;
  private static final double DECAY_FACTOR = 0.9;
  // Lets the estimate of an idle cell follow links that have become slower for good.
  private static final double SLOWER_FASTEST_WEIGHT = 0.02;

  private long lastObservationNanos = Long.MIN_VALUE / 2;
  private double nanosPerByte;
  private double fastestNanosPerByte;
  private double limit = MAX_LIMIT;
  private int inUse;
  private long nextDecreaseNanos = Long.MIN_VALUE;

  /** Acquires a permit for an attempt, from its grant until the end of its transfer. */
  void acquire() {
    inUse++;
  }

  /** Releases a permit. */
  void release() {
    inUse--;
  }

  /** Returns whether another permit is free. */
  boolean hasFreeCapacity() {
    return inUse < limit;
  }

  /** Returns the predicted duration of a transfer, nanoseconds; 0 before any was observed. */
  long predictedTransferNanos(long bytes) {
    return (long) (nanosPerByte * bytes);
  }

  /** Updates the estimate and the limit with a finished transfer. */
  void recordTransfer(long bytes, long durationNanos, long now) {
    if (bytes <= 0 || durationNanos < 0) {
      return;
    }
    // Time beyond SLOW_TRANSFER_NANOS was spent waiting for the engine and says nothing about the
    // link.
    double observed = (double) Math.min(durationNanos, SLOW_TRANSFER_NANOS) / bytes;
    lastObservationNanos = now;
    nanosPerByte =
        nanosPerByte == 0 ? observed : nanosPerByte + NEWEST_WEIGHT * (observed - nanosPerByte);
    if (durationNanos > SLOW_TRANSFER_NANOS) {
      reduceLimit(now);
      return;
    }
    recordFastest(observed);
    if (durationNanos < FAST_TRANSFER_NANOS && limit < MAX_LIMIT) {
      limit = Math.min(MAX_LIMIT, limit + 1 / limit);
    }
  }

  private void recordFastest(double observed) {
    boolean faster = fastestNanosPerByte == 0 || observed < fastestNanosPerByte;
    fastestNanosPerByte += (faster ? 1 : SLOWER_FASTEST_WEIGHT) * (observed - fastestNanosPerByte);
  }

  /**
   * Decays an estimate without recent observations, down to the fastest transfers. If requests are
   * refused because of it, no new observation could correct it; below those, the next engine that
   * is observed would seem slow.
   */
  void decayEstimate(long now) {
    if (now - lastObservationNanos > DECAY_AFTER_NANOS) {
      nanosPerByte =
          Math.min(nanosPerByte, Math.max(fastestNanosPerByte, DECAY_FACTOR * nanosPerByte));
    }
  }

  /** Lowers the limit after a slow or failed transfer. */
  void reduceLimit(long now) {
    if (now >= nextDecreaseNanos) {
      limit = Math.max(MIN_LIMIT, DECREASE_FACTOR * Math.min(limit, inUse + 1));
      nextDecreaseNanos = now + DECREASE_INTERVAL_NANOS;
    }
  }
}
