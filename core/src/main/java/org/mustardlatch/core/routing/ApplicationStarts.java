package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.budget.BudgetTerms;
import org.mustardlatch.core.budget.LeasedBudget;
import org.mustardlatch.core.budget.OwnedBudget;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLease;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLeaseRequest;

/**
 * Decides which application upstream a request may be sent to while some of them limit the requests
 * of all nodes together. One node owns the budget of each limited upstream and leases units of it
 * to the others. A request goes to its most preferred upstream that states no limit or that this
 * node has a unit of; it waits for a lease only if there is none.
 *
 * <p>If the owner does not respond, a node spends a part of its equal share of the limit. The nodes
 * that the owner does not reach then add at most a quarter of the limit to what it grants. With
 * limit R and lease time L, the nodes send at most 1.25R(T + 2L) requests in any time T.
 */
final class ApplicationStarts {
  static final String TIMER_KIND = "start";

  /** Prefix of the names of the budgets of upstreams. */
  static final String BUDGET_PREFIX = "upstream/";

  private static final long RESPONSE_TIMEOUT_NANOS = 100_000_000;
  private static final int MAX_UNANSWERED_REQUESTS = 2;
  private static final double UNANSWERED_SHARE = 0.25;
  private static final long MAX_WAIT_NANOS = 300_000_000;
  private static final long MIN_REQUEST_INTERVAL_NANOS = 10_000_000;
  private static final long MAX_EMPTY_NANOS = 10_000_000_000L;

  /** The units that this node has of one upstream, and its requests for more. */
  private static final class Units {
    final LeasedBudget leased;
    boolean requestPending;
    long requestedNanos = Long.MIN_VALUE / 2;
    int unansweredRequests;
    long emptyUntilNanos = Long.MIN_VALUE;
    OptionalDouble emptyAtLimit = OptionalDouble.empty();
    @Nullable OwnedBudget ownShare;

    Units(long now) {
      leased = new LeasedBudget(UpstreamLimits.LEASE_TIME.toNanos(), now);
    }
  }

  private record WaitingStart(RequestId request, List<UpstreamId> candidates, long endNanos) {}

  private final CommandCollector commands;
  private final UpstreamLimits limits;
  private final Map<UpstreamId, Units> unitsByUpstream = new HashMap<>();
  private final Map<RequestId, WaitingStart> waiting = new LinkedHashMap<>();
  private Topology topology;

  ApplicationStarts(CommandCollector commands, UpstreamLimits limits, Topology topology) {
    this.commands = commands;
    this.limits = limits;
    this.topology = topology;
  }

  void topologyChanged(Topology next) {
    topology = next;
  }

  /**
   * Chooses an upstream for a request, at once or when a lease arrives.
   *
   * @param candidates upstreams that it may be sent to, the most preferred one first
   */
  void startRequested(RequestId request, List<UpstreamId> candidates) {
    WaitingStart start = new WaitingStart(request, candidates, commands.now() + MAX_WAIT_NANOS);
    if (!tryStart(start, true)) {
      waiting.put(request, start);
      commands.setTimer(TIMER_KIND, request.value(), commands.now() + RESPONSE_TIMEOUT_NANOS);
      refuseIfHopeless(start);
    }
  }

  private boolean tryStart(WaitingStart start, boolean isNew) {
    for (UpstreamId upstream : start.candidates()) {
      if (!limits.isLimited(upstream) || trySpend(upstream, isNew)) {
        decide(start, upstream);
        return true;
      }
    }
    return false;
  }

  private boolean trySpend(UpstreamId upstream, boolean isNewDemand) {
    Units units = units(upstream);
    boolean spent = units.leased.trySpend(isNewDemand, commands.now());
    requestUnits(upstream, units, !spent);
    return spent || (units.ownShare != null && units.leased.trySpend(false, commands.now()));
  }

  private Units units(UpstreamId upstream) {
    return unitsByUpstream.computeIfAbsent(upstream, u -> new Units(commands.now()));
  }

  /** Requests units from the owner if the expected demand exceeds what is leased. */
  private void requestUnits(UpstreamId upstream, Units units, boolean needed) {
    long now = commands.now();
    double wanted = Math.max(needed ? 1 : 0, units.leased.unitsToRequest(now));
    long sinceRequest = now - units.requestedNanos;
    if (wanted <= 0
        || isEmpty(upstream, units)
        || sinceRequest
            < (units.requestPending ? RESPONSE_TIMEOUT_NANOS : MIN_REQUEST_INTERVAL_NANOS)) {
      return;
    }
    units.unansweredRequests += units.requestPending ? 1 : 0;
    units.requestPending = true;
    units.requestedNanos = now;
    HostId owner =
        topology.rankedOwners(BUDGET_PREFIX + upstream).stream().findFirst().orElse(null);
    if (owner != null) {
      commands.send(owner, new BudgetLeaseRequest(BUDGET_PREFIX + upstream, wanted));
    }
    if (units.unansweredRequests >= MAX_UNANSWERED_REQUESTS) {
      leaseOwnShare(upstream, units, wanted);
    }
  }

  /** Returns whether the owner has no units yet, unless the limit has changed since it said so. */
  private boolean isEmpty(UpstreamId upstream, Units units) {
    return commands.now() < units.emptyUntilNanos
        && units.emptyAtLimit.equals(limits.grantedPerSecond(upstream));
  }

  /** Takes units from this node's share of the limit while the owner does not respond. */
  private void leaseOwnShare(UpstreamId upstream, Units units, double wanted) {
    long now = commands.now();
    double perSecond =
        UNANSWERED_SHARE * limits.grantedPerSecond(upstream).orElse(0) / limits.liveNodes();
    BudgetTerms terms = new BudgetTerms(perSecond, UpstreamLimits.LEASE_TIME);
    OwnedBudget share = units.ownShare;
    if (share == null) {
      share = new OwnedBudget(terms, now);
      units.ownShare = share;
    } else {
      share.setTerms(terms, now);
    }
    double granted = share.grant(commands.self(), wanted, now);
    if (granted > 0) {
      units.leased.addLease(granted, UpstreamLimits.LEASE_TIME.toNanos(), now);
    }
  }

  /** Handles a request for units of a budget that this node owns, as far as the sender knows. */
  void leaseRequested(HostId from, BudgetLeaseRequest request) {
    UpstreamId upstream = new UpstreamId(request.budget().substring(BUDGET_PREFIX.length()));
    double granted = limits.lease(from, upstream, request.requestedUnits());
    long validNanos =
        granted > 0
            ? UpstreamLimits.LEASE_TIME.toNanos()
            : Math.clamp(
                limits.nanosUntilTurn(from, upstream), MIN_REQUEST_INTERVAL_NANOS, MAX_EMPTY_NANOS);
    commands.send(from, new BudgetLease(request.budget(), granted, validNanos));
  }

  /** Handles the response of an owner: units, or the time until it has some. */
  void leaseReceived(BudgetLease lease) {
    UpstreamId upstream = new UpstreamId(lease.budget().substring(BUDGET_PREFIX.length()));
    Units units = units(upstream);
    units.requestPending = false;
    units.unansweredRequests = 0;
    units.ownShare = null;
    if (lease.units() > 0) {
      units.leased.addLease(lease.units(), lease.validNanos(), commands.now());
    } else {
      units.emptyUntilNanos = commands.now() + lease.validNanos();
      units.emptyAtLimit = limits.grantedPerSecond(upstream);
    }
    serveWaiting();
  }

  private void serveWaiting() {
    for (WaitingStart start : new ArrayList<>(waiting.values())) {
      if (!tryStart(start, false)) {
        refuseIfHopeless(start);
      }
    }
  }

  /** Refuses a request unless the owner of one of its upstreams has yet to respond. */
  private void refuseIfHopeless(WaitingStart start) {
    boolean hopeless =
        start.candidates().stream()
            .noneMatch(u -> unitsByUpstream.containsKey(u) && units(u).requestPending);
    if (hopeless || commands.now() >= start.endNanos()) {
      decide(start, null);
    }
  }

  /** Tries a waiting request again whose owners have not responded. */
  void timerFired(String subject) {
    WaitingStart start = waiting.get(new RequestId(subject));
    if (start != null && !tryStart(start, false)) {
      refuseIfHopeless(start);
      if (waiting.containsKey(start.request())) {
        commands.setTimer(TIMER_KIND, subject, commands.now() + RESPONSE_TIMEOUT_NANOS);
      }
    }
  }

  private void decide(WaitingStart start, @Nullable UpstreamId upstream) {
    if (waiting.remove(start.request()) != null) {
      commands.emit(
          new RoutingCommand.CancelTimer(new TimerKey(TIMER_KIND, start.request().value())));
    }
    commands.emit(new RoutingCommand.DecideApplicationStart(start.request(), upstream));
  }

  /** Drops the state of upstreams that no longer state a limit, and serves those that waited. */
  void tick() {
    unitsByUpstream.keySet().removeIf(u -> !limits.isLimited(u));
    serveWaiting();
  }
}
