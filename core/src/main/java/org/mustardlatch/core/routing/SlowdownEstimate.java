package org.mustardlatch.core.routing;

/**
 * An estimate of how much slower than predicted an engine does one kind of work: the exponentially
 * weighted mean of the ratio of observed to predicted duration. 1 means as predicted.
 */
final class SlowdownEstimate {
  // Half the weight is on the newest observation: interference by a noisy neighbour starts and ends
  // within seconds, so the estimate must adapt within two observations.
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

  /** Records the duration of ended work against its prediction. */
  void observe(long durationNanos, long predictedNanos) {
    double r =
        Math.clamp((double) durationNanos / Math.max(1, predictedNanos), MIN_RATIO, MAX_RATIO);
    ratio = hasObservation ? ratio + NEWEST_WEIGHT * (r - ratio) : r;
    hasObservation = true;
  }

  /** Moves the ratio by 2 % towards 1; called while there are no observations. */
  void decay() {
    ratio += DECAY_RATE * (1 - ratio);
  }
}
