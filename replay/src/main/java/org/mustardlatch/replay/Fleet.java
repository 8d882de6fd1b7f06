package org.mustardlatch.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.routing.Member;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;

/** The nodes of the router, and what membership tells them about each other. */
final class Fleet {
  /** Time until the others hear that a node died: 3 heartbeats and 5 s to refute (design 4.8). */
  private static final Duration DEATH_DETECTION = Duration.ofSeconds(8);

  private final Deployment deployment;
  private final PolicyFactory factory;
  private final TimerService timers;
  private final RandomGenerator random;
  private final BiConsumer<ReplayNode, RoutingCommand> execute;
  private final DecisionTimes times;
  private final Map<HostId, ReplayNode> nodes = new LinkedHashMap<>();

  Fleet(
      Deployment deployment,
      PolicyFactory factory,
      TimerService timers,
      RandomGenerator random,
      BiConsumer<ReplayNode, RoutingCommand> execute,
      DecisionTimes times) {
    this.deployment = deployment;
    this.factory = factory;
    this.timers = timers;
    this.random = random;
    this.execute = execute;
    this.times = times;
  }

  /** Starts all nodes, which send messages to each other at once. */
  void start() {
    deployment.nodes().forEach(this::start);
    publishMembers();
  }

  Iterable<ReplayNode> nodes() {
    return nodes.values();
  }

  /** Returns the node with this name. */
  ReplayNode node(HostId host) {
    ReplayNode n = nodes.get(host);
    if (n == null) {
      throw new IllegalArgumentException("host \"" + host + "\" does not exist");
    }
    return n;
  }

  /** Returns the live nodes that fit. */
  List<ReplayNode> live(Predicate<ReplayNode> filter) {
    List<ReplayNode> result = new ArrayList<>();
    for (ReplayNode n : nodes.values()) {
      if (n.isAlive() && filter.test(n)) {
        result.add(n);
      }
    }
    return result;
  }

  void die(ReplayNode node) {
    node.die();
    timers.schedule(DEATH_DETECTION, this::publishMembers);
  }

  /** Replaces a dead node by a new process of the same name. */
  void replace(ReplayNode dead) {
    Member m = dead.member();
    start(new Member(m.host(), m.region(), m.zone(), m.incarnation() + 1));
    publishMembers();
  }

  private void start(Member m) {
    RandomGenerator own = Randoms.seeded(random.nextLong());
    ReplayNode n = new ReplayNode(m, factory.create(m, own), timers, execute, times);
    nodes.put(m.host(), n);
    n.handle(new RoutingEvent.ManifestApplied(1, deployment.manifest()));
  }

  private void publishMembers() {
    List<Member> members = live(n -> true).stream().map(ReplayNode::member).toList();
    live(n -> true).forEach(n -> n.handle(new RoutingEvent.MembersChanged(members)));
  }
}
