package org.mustardlatch.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.time.VirtualTimerService;

/**
 * Simulated fleet in virtual time. A seed determines the loss and delay of messages; the test sets
 * the loss probability and partitions.
 */
final class FleetSimulation {
  final VirtualTimerService time = new VirtualTimerService();
  final Random random;
  final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();
  double lossProbability;

  /** Whether all messages from the first node to the second are lost. */
  BiPredicate<SimulatedNode, SimulatedNode> isPartitioned = (a, b) -> false;

  /** Whether the object service is down, so that nodes cannot read it. */
  boolean storeDown;

  long storedRevision;
  String storedText = "";
  long messagesSent;
  private long nextIncarnation = 1;

  FleetSimulation(long seed) {
    random = new Random(seed);
  }

  /** Starts nodes {@code from} to {@code to - 1} in two regions, with the same join addresses. */
  void startAll(int from, int to) {
    for (int i = from; i < to; i++) {
      start("n" + i, i % 2 == 0 ? "r0" : "r1", joinAddresses());
    }
  }

  /** Returns the addresses of the first three nodes, through which nodes join. */
  List<String> joinAddresses() {
    return List.of("n0:1", "n1:1", "n2:1");
  }

  SimulatedNode start(String name, String region, List<String> joinAddresses) {
    SimulatedNode n = new SimulatedNode(this, name, region, nextIncarnation++, joinAddresses);
    nodes.put(name, n);
    n.start();
    return n;
  }

  SimulatedNode nodeAt(int i) {
    return nodes.values().stream().skip(i).findFirst().orElseThrow();
  }

  Collection<SimulatedNode> runningNodes() {
    return nodes.values().stream().filter(SimulatedNode::isRunning).toList();
  }

  void advance(Duration duration) {
    time.advance(duration);
  }

  /** Advances time until the condition holds for all running nodes; returns the elapsed seconds. */
  double runUntil(Duration limit, Predicate<SimulatedNode> condition) {
    long start = time.nanos();
    while (!runningNodes().stream().allMatch(condition)) {
      if (time.nanos() - start > limit.toNanos()) {
        List<String> unsatisfied =
            runningNodes().stream()
                .filter(condition.negate())
                .map(SimulatedNode::toString)
                .toList();
        throw new AssertionError("not reached within " + limit + " on " + unsatisfied);
      }
      time.advance(Duration.ofMillis(50));
    }
    return (time.nanos() - start) / 1e9;
  }

  /**
   * Advances time until the member list of every running node holds exactly the running nodes;
   * returns the elapsed seconds.
   */
  double runUntilMembershipAgrees(Duration limit) {
    return runUntil(limit, n -> n.seesExactly(runningNodes()));
  }

  void send(SimulatedNode from, HostId to, PeerMessage message) {
    deliver(from, nodes.get(to.value()), message);
  }

  void sendToAddress(SimulatedNode from, String address, PeerMessage message) {
    deliver(from, nodes.get(address.substring(0, address.indexOf(':'))), message);
  }

  private void deliver(
      SimulatedNode from,
      @org.jspecify.annotations.Nullable SimulatedNode to,
      PeerMessage message) {
    messagesSent++;
    if (to == null
        || to == from
        || isPartitioned.test(from, to)
        || random.nextDouble() < lossProbability) {
      return;
    }
    boolean sameRegion = from.region().equals(to.region());
    Duration delay =
        Duration.ofMillis(sameRegion ? 1 + random.nextInt(2) : 30 + random.nextInt(20));
    long incarnation = from.incarnation();
    time.schedule(delay, () -> to.receive(from.host(), incarnation, message));
  }

  /** Applies an action to each of the given nodes. */
  void applyToEach(List<SimulatedNode> targets, Consumer<SimulatedNode> action) {
    new ArrayList<>(targets).forEach(action);
  }
}
