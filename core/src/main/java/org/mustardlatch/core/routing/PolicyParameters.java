package org.mustardlatch.core.routing;

import org.mustardlatch.core.manifest.Objective;

/**
 * Parameters of the routing policy, determined by the objective in the manifest.
 *
 * @param deadlineMarginShare share of the first-token budget reserved for prediction errors, 0 to 1
 * @param latePrefillGrace share of the first-token target by which a prefill may finish after its
 *     deadline and still continue with decode
 * @param hedgingAllowed whether hedged attempts are allowed before the first token
 * @param latePrefillFactor multiple of the predicted duration after which a prefill counts as late
 * @param crossRegionWaitShare share of the first-token budget that the predicted wait in the local
 *     queue must exceed before a cell of another region is requested as well
 * @param crossRegionCostFactor factor on the bytes that a request routed to another region acquires
 *     from the {@link CrossRegionBudget}
 */
record PolicyParameters(
    double deadlineMarginShare,
    double latePrefillGrace,
    boolean hedgingAllowed,
    double latePrefillFactor,
    double crossRegionWaitShare,
    double crossRegionCostFactor) {
  /** Returns the parameters for an objective. */
  static PolicyParameters of(Objective objective) {
    return switch (objective) {
      case WASTE_AVERSE -> new PolicyParameters(0.20, 0.5, false, 2.0, 0.20, 2.0);
      case CREST_AVERSE -> new PolicyParameters(0.12, 0.1, true, 1.5, 0.50, 1.0);
    };
  }
}
