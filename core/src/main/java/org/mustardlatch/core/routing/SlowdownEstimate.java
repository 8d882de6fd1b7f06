package org.mustardlatch.core.routing;

/**
 * How much slower than predicted an engine does one kind of work, as an exponentially weighted mean
 * of observed over predicted durations. 1 means as predicted.
 */
final class SlowdownEstimate {
  // Half the weight on the newest observation: a noisy neighbour comes and goes within seconds, so
  // two observations must be enough to follow it.
  private static final double NEWEST_WEIGHT = 0.5;
  private static final double MIN_RATIO = 0.1;
  private static final double MAX_RATIO = 20;
  private static final double DECAY_RATE = 0.02;

  private double ratio = 1;
  private boolean hasObservation;

  double ratio() {
    return ratio;
  }

  boolean hasObservation() {
    return hasObservation;
  }

  void observe(long durationNanos, long predictedNanos) {
    double r =
        Math.clamp((double) durationNanos / Math.max(1, predictedNanos), MIN_RATIO, MAX_RATIO);
    ratio = hasObservation ? ratio + NEWEST_WEIGHT * (r - ratio) : r;
    hasObservation = true;
  }

  /** Moves the ratio a small step towards 1; called while nothing is observed. */
  void decay() {
    ratio += DECAY_RATE * (1 - ratio);
  }
}
