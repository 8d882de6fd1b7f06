package org.mustardlatch.core.routing;

import org.mustardlatch.core.manifest.Objective;

/**
 * Weights of the policy that the manifest's objective sets.
 *
 * @param deadlineMargin share of the first-token budget kept free in predictions, 0 to 1
 * @param lateGrace share of the first-token target by which a finished prefill may be late and
 *     still go on to decode
 * @param hedges whether hedged attempts are allowed before the first token
 * @param lateFactor multiple of its predicted duration at which a prefill counts as late
 * @param crossWaitShare share of the first-token budget that the predicted wait in the local queue
 *     must exceed before another region is asked too
 * @param crossingCost factor on the bytes that a crossing takes from the budget
 */
record Tuning(
    double deadlineMargin,
    double lateGrace,
    boolean hedges,
    double lateFactor,
    double crossWaitShare,
    double crossingCost) {
  static Tuning of(Objective objective) {
    return switch (objective) {
      case WASTE_AVERSE -> new Tuning(0.20, 0.5, false, 2.0, 0.20, 2.0);
      case CREST_AVERSE -> new Tuning(0.12, 0.1, true, 1.5, 0.50, 1.0);
    };
  }
}
