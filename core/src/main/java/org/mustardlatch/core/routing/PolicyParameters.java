package org.mustardlatch.core.routing;

import org.mustardlatch.core.manifest.Objective;

/**
 * Weights of the policy that the manifest's objective sets.
 *
 * @param deadlineMarginShare share of the first-token budget kept free in predictions, 0 to 1
 * @param latePrefillGrace share of the first-token target by which a finished prefill may be late
 *     and still go on to decode
 * @param hedgingAllowed whether hedged attempts are allowed before the first token
 * @param latePrefillFactor multiple of its predicted duration at which a prefill counts as late
 * @param crossRegionWaitShare share of the first-token budget that the predicted wait in the local
 *     queue must exceed before another region is asked too
 * @param crossRegionCostFactor factor on the bytes that a crossing takes from the budget
 */
record PolicyParameters(
    double deadlineMarginShare,
    double latePrefillGrace,
    boolean hedgingAllowed,
    double latePrefillFactor,
    double crossRegionWaitShare,
    double crossRegionCostFactor) {
  static PolicyParameters of(Objective objective) {
    return switch (objective) {
      case WASTE_AVERSE -> new PolicyParameters(0.20, 0.5, false, 2.0, 0.20, 2.0);
      case CREST_AVERSE -> new PolicyParameters(0.12, 0.1, true, 1.5, 0.50, 1.0);
    };
  }
}
