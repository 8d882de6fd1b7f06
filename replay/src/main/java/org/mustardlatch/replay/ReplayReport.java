package org.mustardlatch.replay;

import java.util.Map;

/**
 * What a replay measured. An answer is good when it is complete, its first token came by the call's
 * first-token deadline and no gap between tokens was longer than the model's target. Times of a
 * call that came back after a refusal count from the start of that try.
 *
 * @param calls calls in the trace
 * @param tries requests, with those after a refusal
 * @param goodCalls calls with a good answer
 * @param goodput good answers a second of the trace
 * @param crestCalls calls that arrived in the crest window
 * @param crestGoodput good answers to tries that started in the crest window, a second
 * @param computedTokens prompt tokens that engines computed
 * @param wastedTokens those whose result never led to a completed answer
 * @param wasteByCause wasted tokens by cause
 * @param firstTokenP99Ms 99th percentile of the time to first token of answered tries
 * @param longestGapP99Ms 99th percentile of the longest token gap of completed tries
 * @param crossRegionBytes bytes over the link between the regions, both ways
 * @param endings tries by how they ended
 * @param refusals refusals by error code
 * @param missing tries without a final answer, and second final answers; must be 0
 * @param rules how often the policy named each rule
 * @param timing processor time; the only part that differs between equal runs
 */
public record ReplayReport(
    int calls,
    int tries,
    int goodCalls,
    double goodput,
    int crestCalls,
    double crestGoodput,
    long computedTokens,
    long wastedTokens,
    Map<String, Long> wasteByCause,
    double firstTokenP99Ms,
    double longestGapP99Ms,
    long crossRegionBytes,
    Map<String, Integer> endings,
    Map<String, Integer> refusals,
    int missing,
    Map<String, Integer> rules,
    Timing timing) {

  /** Returns good answers per call, 0 to 1. */
  public double goodShare() {
    return calls == 0 ? 0 : (double) goodCalls / calls;
  }

  /** Returns wasted per computed prefill tokens, 0 to 1. */
  public double wasteShare() {
    return computedTokens == 0 ? 0 : (double) wastedTokens / computedTokens;
  }

  /** Returns this report without its timing figures. */
  ReplayReport withoutTiming() {
    return new ReplayReport(
        calls,
        tries,
        goodCalls,
        goodput,
        crestCalls,
        crestGoodput,
        computedTokens,
        wastedTokens,
        wasteByCause,
        firstTokenP99Ms,
        longestGapP99Ms,
        crossRegionBytes,
        endings,
        refusals,
        missing,
        rules,
        new Timing(0, 0, 0, 0));
  }

  /**
   * Processor time of the policies, by the clock of the machine that ran the replay.
   *
   * @param decisionMicros all decisions about requests, per try
   * @param upkeepMicros tokens, load reports, listings, manifests, members and timers, per try
   * @param decisionP50Micros median of one decision
   * @param decisionP99Micros 99th percentile of one decision
   */
  public record Timing(
      double decisionMicros,
      double upkeepMicros,
      double decisionP50Micros,
      double decisionP99Micros) {}
}
