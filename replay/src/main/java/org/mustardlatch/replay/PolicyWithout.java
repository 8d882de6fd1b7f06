package org.mustardlatch.replay;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.mustardlatch.core.manifest.CrossRegionLink;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.routing.GenerationRequest;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.routing.RoutingPolicy;

/** A policy with one mechanism taken away at its interface, to measure what it is worth. */
final class PolicyWithout implements RoutingPolicy {
  /** What can be taken away. */
  enum Mechanism {
    /** Requests never cross between regions: the byte budget is zero. */
    CROSSING,
    /** The policy does not see which prompts share a prefix. */
    PREFIXES,
    /** Every refusal names one second instead of a time that is drawn by the excess load. */
    RETRY_SPREAD
  }

  private static final Duration FIXED_RETRY = Duration.ofSeconds(1);

  private final RoutingPolicy policy;
  private final Mechanism mechanism;

  PolicyWithout(RoutingPolicy policy, Mechanism mechanism) {
    this.policy = policy;
    this.mechanism = mechanism;
  }

  @Override
  public void handle(RoutingEvent event, long nowNanos, Consumer<RoutingCommand> out) {
    switch (mechanism) {
      case CROSSING -> policy.handle(withoutCrossing(event), nowNanos, out);
      case PREFIXES -> policy.handle(withoutPrefixes(event), nowNanos, out);
      case RETRY_SPREAD -> policy.handle(event, nowNanos, c -> out.accept(withFixedRetry(c)));
    }
  }

  private static RoutingEvent withoutCrossing(RoutingEvent event) {
    if (!(event instanceof RoutingEvent.ManifestApplied e)) {
      return event;
    }
    Manifest m = e.manifest();
    Manifest closed =
        new Manifest(
            m.name(),
            m.objective(),
            m.regions(),
            new CrossRegionLink(m.link().bytesPerSecond(), 0),
            m.workspaces(),
            m.models(),
            m.upstreams(),
            m.routes(),
            m.ledger(),
            m.limits());
    return new RoutingEvent.ManifestApplied(e.revision(), closed);
  }

  private static RoutingEvent withoutPrefixes(RoutingEvent event) {
    if (!(event instanceof RoutingEvent.RequestArrived e)) {
      return event;
    }
    GenerationRequest r = e.request();
    return new RoutingEvent.RequestArrived(
        new GenerationRequest(
            r.id(),
            r.workspace(),
            r.model(),
            r.promptTokens(),
            r.maxOutputTokens(),
            r.promptBytes(),
            List.of(),
            r.fingerprint(),
            r.firstTokenDeadlineNanos(),
            r.finalDeadlineNanos()));
  }

  private static RoutingCommand withFixedRetry(RoutingCommand command) {
    return command instanceof RoutingCommand.Refuse r && !r.retryAfter().isZero()
        ? new RoutingCommand.Refuse(r.request(), r.code(), r.detail(), FIXED_RETRY)
        : command;
  }
}
