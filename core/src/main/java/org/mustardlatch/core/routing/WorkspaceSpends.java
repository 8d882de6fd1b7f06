package org.mustardlatch.core.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.budget.Allowance;
import org.mustardlatch.core.budget.AllowanceBucket;
import org.mustardlatch.core.budget.AllowanceLeases;
import org.mustardlatch.core.budget.AllowanceOwner;
import org.mustardlatch.core.budget.AllowanceTerms;
import org.mustardlatch.core.budget.QuotaBounds;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLease;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLeaseRequest;

/**
 * Decides whether the allowance of a workspace covers a request. A request is paid from units that
 * an owner has leased to this node; it waits for a lease only if there are too few. Refused
 * requests are those that every owner refused, or that no owner responded to in time. Units that
 * are not spent in time go back to their owner.
 *
 * <p>Load: the requests of one node for up to 480 workspaces, of which all may ask for more than
 * their allowance. At most one request for a lease is in progress for each workspace. A node that
 * got no units does not ask again for some time, which grows with the number of such workspaces.
 */
final class WorkspaceSpends {
  static final String TIMER_KIND = "spend";

  /** Prefix of the names of the budgets of workspaces. */
  static final String BUDGET_PREFIX = "workspace/";

  // Several round trips between regions.
  private static final long RESPONSE_TIMEOUT_NANOS = 100_000_000;

  // An owner that did not respond is left out for this time, so that requests need not wait for it.
  private static final long SILENCE_NANOS = 1_000_000_000;

  // After a refusal, units are requested for one request at a time, as an owner grants all or none.
  private static final long SINGLE_REQUESTS_NANOS = 500_000_000;

  private static final long MIN_QUIET_NANOS = 10_000_000;

  // Bounds the requests for leases of a node whose workspaces all exceed their allowances to 17
  // rounds per second, each of two requests with a response: 7 KB/s at 100 bytes a message.
  private static final long QUIET_NANOS_PER_REFUSED_WORKSPACE = 60_000_000;

  private record WaitingSpend(RequestId request, double units, long endNanos) {}

  /** The units that this node has of one allowance, and its request for more. */
  private static final class Units {
    final AllowanceLeases leases;
    final ArrayDeque<WaitingSpend> waiting = new ArrayDeque<>();

    /** Owners that granted nothing or did not respond since the last lease. */
    final Set<HostId> tried = new HashSet<>();

    @Nullable HostId asked;
    double askedUnits;
    long askedNanos;
    long singleUntilNanos = Long.MIN_VALUE;
    long turnNanos = Long.MAX_VALUE;
    double refusedUnits;
    long quietUntilNanos = Long.MIN_VALUE;
    @Nullable AllowanceBucket unreached;

    Units(long now) {
      leases = new AllowanceLeases(now);
    }
  }

  private final CommandCollector commands;
  private final UpstreamLimits fleet;
  private final RandomGenerator random;
  private final RegionId region;
  private final AllowanceOwner owner = new AllowanceOwner();
  private final Map<String, AllowanceTerms> termsByBudget = new HashMap<>();
  private final Map<String, Units> unitsByBudget = new HashMap<>();
  private final Map<HostId, Long> silentUntilNanos = new HashMap<>();
  private final Set<String> owned = new HashSet<>();
  private AllowanceOwners owners;

  WorkspaceSpends(
      CommandCollector commands,
      UpstreamLimits fleet,
      RandomGenerator random,
      RegionId region,
      Topology topology) {
    this.commands = commands;
    this.fleet = fleet;
    this.random = random;
    this.region = region;
    this.owners = new AllowanceOwners(topology);
  }

  void topologyChanged(Topology topology) {
    owners = new AllowanceOwners(topology);
    updateOwned();
  }

  void allowancesApplied(Map<String, Allowance> allowances, QuotaBounds bounds) {
    termsByBudget.clear();
    allowances.forEach(
        (name, a) -> termsByBudget.put(BUDGET_PREFIX + name, new AllowanceTerms(a, bounds)));
    for (Map.Entry<String, Units> e : Map.copyOf(unitsByBudget).entrySet()) {
      e.getValue().unreached = null;
      e.getValue().quietUntilNanos = Long.MIN_VALUE;
      if (!termsByBudget.containsKey(e.getKey())) {
        grantAll(e.getValue());
        unitsByBudget.remove(e.getKey());
      }
    }
    updateOwned();
  }

  private void grantAll(Units units) {
    units.waiting.forEach(s -> decide(s.request(), Duration.ZERO, true));
    units.waiting.clear();
  }

  /** Determines the allowances that this node owns. */
  private void updateOwned() {
    owned.clear();
    termsByBudget.forEach(
        (budget, terms) -> {
          if (owners.owners(budget, terms.ownerCount()).stream()
              .anyMatch(m -> m.host().equals(commands.self()))) {
            owned.add(budget);
          }
        });
    owner.retainOnly(owned);
    updateOwnedTerms();
  }

  private void updateOwnedTerms() {
    for (String budget : owned) {
      AllowanceTerms terms = termsByBudget.get(budget);
      if (terms != null) {
        owner.own(budget, terms, fleet.visibleShare(), commands.now());
      }
    }
  }

  /** Drops the units that this node could grant; others may have granted them during a pause. */
  void restartAfterLongPause() {
    owner.retainOnly(Set.of());
    updateOwnedTerms();
  }

  /** Pays for a request, at once or when a lease arrives, or refuses it. */
  void spendRequested(RequestId request, String workspace, double cost) {
    String budget = BUDGET_PREFIX + workspace;
    AllowanceTerms terms = termsByBudget.get(budget);
    if (terms == null || cost <= 0) {
      decide(request, Duration.ZERO, true);
      return;
    }
    long now = commands.now();
    Units units = unitsByBudget.computeIfAbsent(budget, b -> new Units(now));
    units.leases.recordDemand(cost, now);
    if (units.waiting.isEmpty() && units.leases.trySpend(cost, now)) {
      decide(request, Duration.ZERO, true);
      leaseAhead(budget, units, terms);
    } else if (now < units.quietUntilNanos && cost >= units.refusedUnits) {
      refuse(request, budget, cost, units.quietUntilNanos - now);
    } else {
      units.waiting.addLast(
          new WaitingSpend(request, cost, now + AllowanceTerms.MAX_WAIT.toNanos()));
      serve(budget, units, terms);
    }
  }

  /** Takes back the units of a request that reached no server. */
  void spendReturned(String workspace, double cost) {
    String budget = BUDGET_PREFIX + workspace;
    AllowanceTerms terms = termsByBudget.get(budget);
    if (terms != null && cost > 0) {
      Units units = unitsByBudget.computeIfAbsent(budget, b -> new Units(commands.now()));
      units.leases.refund(commands.self(), cost, commands.now());
      serve(budget, units, terms);
    }
  }

  /** Decides on the waiting requests in order, as far as that is possible now. */
  private void serve(String budget, Units units, AllowanceTerms terms) {
    long now = commands.now();
    while (!units.waiting.isEmpty()) {
      WaitingSpend first = units.waiting.getFirst();
      if (units.leases.trySpend(first.units(), now)) {
        finishFirst(units, Duration.ZERO, true);
        continue;
      }
      if (now < units.quietUntilNanos && first.units() >= units.refusedUnits) {
        units.waiting.removeFirst();
        refuse(first.request(), budget, first.units(), units.quietUntilNanos - now);
        continue;
      }
      boolean expired = now >= first.endNanos();
      if (!expired && units.asked != null) {
        break;
      }
      HostId next = expired ? null : nextOwner(budget, units, terms);
      if (next != null) {
        ask(next, budget, units, unitsToRequest(units, terms));
        break;
      }
      if (anyOwnerSilent(budget, terms) && takeUnreached(units, terms, first.units())) {
        finishFirst(units, Duration.ZERO, true);
      } else {
        startQuietTime(units, terms, first.units());
        units.waiting.removeFirst();
        refuse(first.request(), budget, first.units(), units.quietUntilNanos - now);
        units.tried.clear();
      }
    }
    updateTimer(budget, units);
  }

  private void finishFirst(Units units, Duration retryAfter, boolean granted) {
    units.tried.clear();
    units.turnNanos = Long.MAX_VALUE;
    decide(units.waiting.removeFirst().request(), retryAfter, granted);
  }

  private @Nullable HostId nextOwner(String budget, Units units, AllowanceTerms terms) {
    return owners.ownersNearestFirst(budget, terms.ownerCount(), region).stream()
        .filter(h -> !units.tried.contains(h) && !isSilent(h))
        .findFirst()
        .orElse(null);
  }

  private boolean isSilent(HostId host) {
    Long until = silentUntilNanos.get(host);
    return until != null && commands.now() < until;
  }

  private boolean anyOwnerSilent(String budget, AllowanceTerms terms) {
    return owners.owners(budget, terms.ownerCount()).stream().anyMatch(m -> isSilent(m.host()));
  }

  private boolean takeUnreached(Units units, AllowanceTerms terms, double cost) {
    AllowanceBucket bucket = units.unreached;
    if (bucket == null) {
      bucket = terms.unreachedBucket(fleet.fleetNodes(), commands.now());
      units.unreached = bucket;
    }
    return bucket.tryTake(cost, commands.now());
  }

  /**
   * Returns the units of the first waiting request, of those behind it and of expected ones, as far
   * as an owner's bucket can hold them, less the units that are leased.
   */
  private double unitsToRequest(Units units, AllowanceTerms terms) {
    long now = commands.now();
    double available = units.leases.availableUnits(now);
    double first = units.waiting.getFirst().units();
    if (now < units.singleUntilNanos) {
      return first - available;
    }
    double all = units.waiting.stream().mapToDouble(WaitingSpend::units).sum();
    double wanted = all - available + units.leases.unitsToLeaseAhead(now);
    return Math.max(first - available, Math.min(wanted, capacity(terms)));
  }

  private double capacity(AllowanceTerms terms) {
    return terms.ownerCapacity(fleet.visibleShare());
  }

  private void leaseAhead(String budget, Units units, AllowanceTerms terms) {
    long now = commands.now();
    double ahead = Math.min(units.leases.unitsToLeaseAhead(now), capacity(terms));
    HostId nearest = nextOwner(budget, units, terms);
    if (ahead > 0 && units.asked == null && now >= units.singleUntilNanos && nearest != null) {
      ask(nearest, budget, units, ahead);
    }
  }

  private void ask(HostId host, String budget, Units units, double wanted) {
    units.asked = host;
    units.askedUnits = wanted;
    units.askedNanos = commands.now();
    commands.send(host, new BudgetLeaseRequest(budget, wanted));
  }

  /** Handles a request for units, or a return of units, of an allowance that this node owns. */
  void leaseRequested(HostId from, BudgetLeaseRequest request) {
    BudgetLease lease = owner.handleRequest(from, request, commands.now());
    if (request.requestedUnits() > 0) {
      commands.send(from, lease);
    }
  }

  /** Handles the response of an owner. */
  void leaseReceived(HostId from, BudgetLease lease) {
    Units units = unitsByBudget.get(lease.budget());
    AllowanceTerms terms = termsByBudget.get(lease.budget());
    if (units == null || terms == null) {
      return;
    }
    silentUntilNanos.remove(from);
    boolean isResponse = from.equals(units.asked);
    if (isResponse) {
      units.asked = null;
    }
    if (lease.units() > 0) {
      units.leases.add(from, lease.units(), lease.validNanos(), commands.now());
    } else if (isResponse) {
      recordRefusal(from, units, lease.validNanos());
    }
    serve(lease.budget(), units, terms);
  }

  private void recordRefusal(HostId from, Units units, long turnNanos) {
    long now = commands.now();
    boolean wasSingle =
        !units.waiting.isEmpty()
            && units.askedUnits
                <= units.waiting.getFirst().units() - units.leases.availableUnits(now);
    // An owner that does not own the allowance by its own view states no time.
    if (wasSingle || turnNanos <= 0) {
      long turn = turnNanos > 0 ? turnNanos : Long.MAX_VALUE;
      units.turnNanos = units.tried.isEmpty() ? turn : Math.min(units.turnNanos, turn);
      units.tried.add(from);
    }
    units.singleUntilNanos = now + SINGLE_REQUESTS_NANOS;
  }

  private void startQuietTime(Units units, AllowanceTerms terms, double cost) {
    long now = commands.now();
    long refusedWorkspaces =
        unitsByBudget.values().stream().filter(u -> now < u.quietUntilNanos).count();
    long turn = units.turnNanos == Long.MAX_VALUE ? MIN_QUIET_NANOS : units.turnNanos;
    long quiet = Math.clamp(turn / 2, MIN_QUIET_NANOS, terms.maxQuietNanos());
    units.quietUntilNanos =
        now + Math.max(quiet, refusedWorkspaces * QUIET_NANOS_PER_REFUSED_WORKSPACE);
    units.refusedUnits = cost;
  }

  private void refuse(RequestId request, String budget, double cost, long quietNanos) {
    Units units = unitsByBudget.get(budget);
    long turn = units == null || units.turnNanos == Long.MAX_VALUE ? quietNanos : units.turnNanos;
    long spread = Math.max(MIN_QUIET_NANOS, turn);
    Duration retryAfter = Duration.ofNanos(spread + (long) (random.nextDouble() * spread));
    commands.explain(
        request,
        "allowance_exceeded",
        "budget=" + budget + " units=" + cost + " retry_ms=" + retryAfter.toMillis());
    decide(request, retryAfter, false);
  }

  private void decide(RequestId request, Duration retryAfter, boolean granted) {
    commands.emit(new RoutingCommand.DecideSpend(request, granted, retryAfter));
  }

  private void updateTimer(String budget, Units units) {
    if (units.waiting.isEmpty()) {
      return;
    }
    long end = units.waiting.getFirst().endNanos();
    long timeout = units.asked == null ? end : units.askedNanos + RESPONSE_TIMEOUT_NANOS;
    commands.setTimer(TIMER_KIND, budget, Math.min(end, timeout));
  }

  /** Ends requests to owners that did not respond, and refuses requests that waited too long. */
  void timerFired(String budget) {
    Units units = unitsByBudget.get(budget);
    AllowanceTerms terms = termsByBudget.get(budget);
    if (units != null && terms != null) {
      endUnanswered(budget, units);
      serve(budget, units, terms);
    }
  }

  private void endUnanswered(String budget, Units units) {
    HostId host = units.asked;
    if (host != null && commands.now() - units.askedNanos >= RESPONSE_TIMEOUT_NANOS) {
      units.asked = null;
      units.tried.add(host);
      silentUntilNanos.put(host, commands.now() + SILENCE_NANOS);
      commands.explain(
          new RequestId("allowance-owner"),
          "allowance_owner_silent",
          "budget=" + budget + " owner=" + host);
    }
  }

  /** Returns expired units to their owners and drops state that is not needed. */
  void tick() {
    long now = commands.now();
    updateOwnedTerms();
    silentUntilNanos.values().removeIf(until -> now >= until);
    for (Map.Entry<String, Units> e : unitsByBudget.entrySet()) {
      AllowanceTerms terms = termsByBudget.get(e.getKey());
      if (terms != null) {
        endUnanswered(e.getKey(), e.getValue());
        returnUnits(e.getKey(), e.getValue(), terms);
        serve(e.getKey(), e.getValue(), terms);
      }
    }
    unitsByBudget
        .values()
        .removeIf(
            u ->
                u.asked == null
                    && u.waiting.isEmpty()
                    && u.unreached == null
                    && now >= u.quietUntilNanos
                    && u.leases.isIdle(now));
  }

  private void returnUnits(String budget, Units units, AllowanceTerms terms) {
    units
        .leases
        .takeExpired(commands.now())
        .forEach(
            (host, expired) -> {
              List<HostId> all = owners.ownersNearestFirst(budget, terms.ownerCount(), region);
              // The owner of units of refunded requests is not known any more.
              boolean refunded = host.equals(commands.self()) && !owned.contains(budget);
              HostId to = refunded && !all.isEmpty() ? all.getFirst() : host;
              commands.send(to, new BudgetLeaseRequest(budget, -expired));
            });
  }
}
