package org.mustardlatch.replay;

import org.HdrHistogram.Histogram;
import org.mustardlatch.core.routing.RoutingEvent;

/**
 * Processor time of policies. Events that concern one request at a step of its way are decisions;
 * tokens, load reports, listings, manifests, members and timers are upkeep.
 */
final class DecisionTimes {
  private static final long HIGHEST_NANOS = 10_000_000_000L;

  private final Histogram decisions = new Histogram(HIGHEST_NANOS, 3);
  private long decisionNanos;
  private long upkeepNanos;

  void record(RoutingEvent event, long nanos) {
    switch (event) {
      case RoutingEvent.TokensArrived e -> upkeepNanos += nanos;
      case RoutingEvent.LoadReported e -> upkeepNanos += nanos;
      case RoutingEvent.AttemptsListed e -> upkeepNanos += nanos;
      case RoutingEvent.ManifestApplied e -> upkeepNanos += nanos;
      case RoutingEvent.TimerFired e -> upkeepNanos += nanos;
      case RoutingEvent.MembersChanged e -> upkeepNanos += nanos;
      default -> {
        decisionNanos += nanos;
        decisions.recordValue(Math.min(nanos, HIGHEST_NANOS));
      }
    }
  }

  ReplayReport.Timing timing(int tries) {
    int n = Math.max(1, tries);
    return new ReplayReport.Timing(
        decisionNanos / 1000.0 / n,
        upkeepNanos / 1000.0 / n,
        decisions.getValueAtPercentile(50) / 1000.0,
        decisions.getValueAtPercentile(99) / 1000.0);
  }
}
