package org.mustardlatch.core.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.budget.BudgetTerms;
import org.mustardlatch.core.budget.OwnedBudget;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.Identifiers;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.EvidenceMessage.RateLimitNotice;

/**
 * The limits that upstreams state on the requests that all nodes together send them, and the
 * budgets of requests of those upstreams that this node grants them for: the engines of the cells
 * that it admits to, and the application upstreams that it owns.
 *
 * <p>A node that sees fewer nodes than there were a minute ago, or than its settings name, may be
 * cut off from the others, which then have a granting node of their own. It grants only the share
 * of the nodes that it sees.
 */
final class UpstreamLimits {
  /**
   * Time for which a lease of units may be spent, and for which an idle budget accumulates them.
   */
  static final Duration LEASE_TIME = Duration.ofMillis(300);

  // An upstream that takes no requests at all could not say when it takes some again.
  private static final double MIN_REQUESTS_PER_SECOND = 0.2;

  // One message may be lost. An interval bounds the notices of a limit that changes all the time.
  private static final int MAX_NOTICES = 4;
  private static final long NOTICE_INTERVAL_NANOS = 250_000_000L;

  // A statement is kept for some time after the limit has ended, so that older ones don't return.
  private static final long ENDED_LIMIT_LIFETIME_NANOS = 10_000_000_000L;
  private static final long LIMIT_LIFETIME_NANOS = 600_000_000_000L;
  private static final long NODE_COUNT_LIFETIME_NANOS = 60_000_000_000L;

  /** What an upstream last stated, as far as this node knows. */
  private static final class Statement {
    OptionalDouble requestsPerSecond = OptionalDouble.empty();
    long statedNanos;
    int remainingNotices;
    long nextNoticeNanos;
    @Nullable OwnedBudget budget;
  }

  private final CommandCollector commands;
  private final Map<UpstreamId, Statement> statements = new HashMap<>();
  private int expectedNodes = 1;
  private int liveNodes = 1;
  private int knownNodes = 1;
  private long knownNodesNanos;

  UpstreamLimits(CommandCollector commands) {
    this.commands = commands;
  }

  /** Sets the number of nodes that the settings of this node name. */
  void expectNodes(int count) {
    expectedNodes = Math.max(1, count);
  }

  void topologyChanged(Topology topology) {
    liveNodes = Math.max(1, topology.memberCount());
    updateKnownNodes();
  }

  private void updateKnownNodes() {
    boolean expired = commands.now() - knownNodesNanos >= NODE_COUNT_LIFETIME_NANOS;
    if (liveNodes >= knownNodes || expired) {
      knownNodes = liveNodes;
      knownNodesNanos = commands.now();
    }
  }

  /** Returns whether any upstream states a limit. */
  boolean any() {
    return !statements.isEmpty();
  }

  boolean isLimited(UpstreamId upstream) {
    Statement s = statements.get(upstream);
    return s != null && s.requestsPerSecond.isPresent();
  }

  /**
   * Returns the requests per second that this node may grant for an upstream; empty if it states no
   * limit.
   */
  OptionalDouble grantedPerSecond(UpstreamId upstream) {
    Statement s = statements.get(upstream);
    if (s == null || s.requestsPerSecond.isEmpty()) {
      return OptionalDouble.empty();
    }
    return OptionalDouble.of(
        visibleShare() * Math.max(MIN_REQUESTS_PER_SECOND, s.requestsPerSecond.getAsDouble()));
  }

  /** Returns the part of the fleet's nodes that this node sees, 0 to 1. */
  double visibleShare() {
    return (double) liveNodes / fleetNodes();
  }

  /** Returns the number of nodes of the fleet, whether this node sees them or not. */
  int fleetNodes() {
    return Math.max(liveNodes, Math.max(knownNodes, expectedNodes));
  }

  /** Returns the number of live nodes. */
  int liveNodes() {
    return liveNodes;
  }

  /** Records what an upstream stated in an answer to this node; empty for no limit. */
  void stated(UpstreamId upstream, OptionalDouble requestsPerSecond) {
    if (record(upstream, requestsPerSecond, commands.now(), "its answer")) {
      Statement s = statement(upstream);
      s.remainingNotices = MAX_NOTICES;
    }
  }

  /** Records what an upstream stated in an answer to another node. */
  void handle(RateLimitNotice notice) {
    long statedNanos = commands.now() - notice.ageNanos();
    Statement s = statements.get(notice.upstream());
    if (s == null || statedNanos > s.statedNanos) {
      record(notice.upstream(), notice.requestsPerSecond(), statedNanos, "another node");
    }
  }

  /** Sends a node all statements that this node knows, as it has none after its start. */
  void sendStatements(HostId host) {
    long now = commands.now();
    statements.forEach(
        (upstream, s) ->
            commands.send(
                host, new RateLimitNotice(upstream, s.requestsPerSecond, now - s.statedNanos)));
  }

  private Statement statement(UpstreamId upstream) {
    return statements.computeIfAbsent(upstream, u -> new Statement());
  }

  /** Records a statement and returns whether it differs from the one before. */
  private boolean record(
      UpstreamId upstream, OptionalDouble requestsPerSecond, long statedNanos, String source) {
    boolean changed = !requestsPerSecond.equals(current(upstream));
    if (changed || statements.containsKey(upstream)) {
      Statement s = statement(upstream);
      s.requestsPerSecond = requestsPerSecond;
      s.statedNanos = statedNanos;
    }
    if (changed) {
      String rule = requestsPerSecond.isPresent() ? "upstream_limited" : "upstream_limit_ended";
      String limit =
          requestsPerSecond.isPresent() ? requestsPerSecond.getAsDouble() + "/s" : "none";
      commands.explain(
          new RequestId(Identifiers.of("upstream-" + upstream)),
          rule,
          "limit=" + limit + " from " + source);
    }
    return changed;
  }

  private OptionalDouble current(UpstreamId upstream) {
    Statement s = statements.get(upstream);
    return s == null ? OptionalDouble.empty() : s.requestsPerSecond;
  }

  /** Returns the budget of an upstream, with its current terms; null if it states no limit. */
  private @Nullable OwnedBudget budget(UpstreamId upstream) {
    OptionalDouble rate = grantedPerSecond(upstream);
    if (rate.isEmpty()) {
      return null;
    }
    Statement s = statement(upstream);
    BudgetTerms terms = new BudgetTerms(rate.getAsDouble(), LEASE_TIME);
    OwnedBudget budget = s.budget;
    if (budget == null) {
      budget = new OwnedBudget(terms, commands.now());
      s.budget = budget;
    } else {
      budget.setTerms(terms, commands.now());
    }
    return budget;
  }

  /** Returns the requests that an upstream takes now; unlimited if it states no limit. */
  double availableUnits(UpstreamId upstream) {
    OwnedBudget budget = budget(upstream);
    return budget == null ? Double.MAX_VALUE : budget.availableUnits(commands.now());
  }

  /**
   * Returns the time before which a node that got no units need not request some again,
   * nanoseconds: its turn, if the nodes get units in proportion to their recent demand. So the
   * requests for units of a low limit stay few in a large fleet.
   */
  long nanosUntilTurn(HostId node, UpstreamId upstream) {
    OwnedBudget budget = budget(upstream);
    if (budget == null) {
      return 0;
    }
    double missing = 1 - budget.availableUnits(commands.now());
    double units = Math.max(missing, budget.relativeDemand(node));
    return (long) (units / grantedPerSecond(upstream).orElse(1) * 1e9);
  }

  /** Returns whether an upstream takes another request now. */
  boolean mayStart(UpstreamId upstream) {
    return availableUnits(upstream) >= 1;
  }

  /** Counts a request that this node grants to an upstream. */
  void started(UpstreamId upstream) {
    double unused = lease(commands.self(), upstream, 1);
  }

  /**
   * Grants units of an upstream's budget to a node.
   *
   * @return units granted; 0 if none are available or the upstream states no limit
   */
  double lease(HostId node, UpstreamId upstream, double requestedUnits) {
    OwnedBudget budget = budget(upstream);
    return budget == null ? 0 : budget.grant(node, requestedUnits, commands.now());
  }

  /** Sends notices, and drops statements that are too old to matter. */
  void tick(CrashEvidenceCoordinator coordinator) {
    updateKnownNodes();
    long now = commands.now();
    statements.forEach(
        (upstream, s) -> {
          if (s.remainingNotices > 0 && now >= s.nextNoticeNanos) {
            s.remainingNotices--;
            s.nextNoticeNanos = now + NOTICE_INTERVAL_NANOS;
            coordinator.broadcast(
                new RateLimitNotice(upstream, s.requestsPerSecond, now - s.statedNanos));
          }
        });
    statements
        .values()
        .removeIf(
            s ->
                now - s.statedNanos
                    >= (s.requestsPerSecond.isPresent()
                        ? LIMIT_LIFETIME_NANOS
                        : ENDED_LIMIT_LIFETIME_NANOS));
  }
}
