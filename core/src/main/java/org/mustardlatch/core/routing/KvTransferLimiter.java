package org.mustardlatch.core.routing;

/**
 * Share of the links that the KV transfers of a cell use. The manifest does not state the rate or
 * the layout of links within a region, so the number of attempts between prefill and decode is
 * limited by what was observed: it falls when transfers come near the lifetime of an exported KV
 * cache and grows while they are short.
 */
final class KvTransferLimiter {
  private static final double NEWEST_WEIGHT = 0.2;
  // Exported KV caches live for 0.8 s; a transfer that takes half of that is near failure.
  private static final long SLOW_TRANSFER_NANOS = 400_000_000;
  private static final long FAST_TRANSFER_NANOS = 200_000_000;
  private static final double DECREASE_FACTOR = 0.8;
  private static final double MIN_LIMIT = 2;
  private static final double MAX_LIMIT = 1024;
  // One congestion lets several transfers end late; it must lower the limit once.
  private static final long DECREASE_INTERVAL_NANOS = 400_000_000;

  // An estimate without an observation for this long loses a tenth at each tick of 100 ms.
  private static final long DECAY_AFTER_NANOS = 500_000_000;
  private static final double DECAY_FACTOR = 0.9;

  private long lastObservationNanos = Long.MIN_VALUE / 2;
  private double nanosPerByte;
  private double limit = MAX_LIMIT;
  private int inUse;
  private long nextDecreaseNanos = Long.MIN_VALUE;

  /** Reserves a share for an attempt from its grant until its transfer has ended. */
  void acquire() {
    inUse++;
  }

  void release() {
    inUse--;
  }

  boolean hasFreeCapacity() {
    return inUse < limit;
  }

  /** Returns the predicted duration of a transfer, nanoseconds; 0 before any was observed. */
  long predictedTransferNanos(long bytes) {
    return (long) (nanosPerByte * bytes);
  }

  /** Learns from a finished transfer. */
  void recordTransfer(long bytes, long durationNanos, long now) {
    if (bytes <= 0 || durationNanos < 0) {
      return;
    }
    // What takes longer waited for the engine; it says nothing of the link.
    double observed = (double) Math.min(durationNanos, SLOW_TRANSFER_NANOS) / bytes;
    lastObservationNanos = now;
    nanosPerByte =
        nanosPerByte == 0 ? observed : nanosPerByte + NEWEST_WEIGHT * (observed - nanosPerByte);
    if (durationNanos > SLOW_TRANSFER_NANOS) {
      reduceLimit(now);
    } else if (durationNanos < FAST_TRANSFER_NANOS && limit < MAX_LIMIT) {
      limit = Math.min(MAX_LIMIT, limit + 1 / limit);
    }
  }

  /** Lets an old estimate fade. Requests that were refused for it could never correct it. */
  void decayEstimate(long now) {
    if (now - lastObservationNanos > DECAY_AFTER_NANOS) {
      nanosPerByte *= DECAY_FACTOR;
    }
  }

  /** Lowers the limit after a transfer that was slow or failed. */
  void reduceLimit(long now) {
    if (now >= nextDecreaseNanos) {
      limit = Math.max(MIN_LIMIT, DECREASE_FACTOR * Math.min(limit, inUse + 1));
      nextDecreaseNanos = now + DECREASE_INTERVAL_NANOS;
    }
  }
}
