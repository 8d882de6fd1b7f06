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

/** Nodes joined by a network that loses, delays and cuts messages as a seed says. */
final class Fleet {
  final VirtualTimerService time = new VirtualTimerService();
  final Random random;
  final Map<String, FleetNode> nodes = new LinkedHashMap<>();
  double loss;
  BiPredicate<FleetNode, FleetNode> cut = (a, b) -> false;
  boolean storeDown;
  long storedRevision;
  String storedText = "";
  long messages;
  private long incarnations = 1;

  Fleet(long seed) {
    random = new Random(seed);
  }

  /**
   * Starts nodes {@code from} to {@code to - 1} in two regions, all with the first three as seeds.
   */
  void startAll(int from, int to) {
    for (int i = from; i < to; i++) {
      start("n" + i, i % 2 == 0 ? "r0" : "r1", seeds());
    }
  }

  List<String> seeds() {
    return List.of("n0:1", "n1:1", "n2:1");
  }

  FleetNode start(String name, String region, List<String> seeds) {
    FleetNode n = new FleetNode(this, name, region, incarnations++, seeds);
    nodes.put(name, n);
    n.start();
    return n;
  }

  FleetNode node(int i) {
    return nodes.values().stream().skip(i).findFirst().orElseThrow();
  }

  Collection<FleetNode> live() {
    return nodes.values().stream().filter(FleetNode::running).toList();
  }

  void run(Duration duration) {
    time.advance(duration);
  }

  /** Runs until the condition holds for all running nodes; returns the seconds that it took. */
  double runUntil(Duration limit, Predicate<FleetNode> condition) {
    long start = time.nanos();
    while (!live().stream().allMatch(condition)) {
      if (time.nanos() - start > limit.toNanos()) {
        List<String> missing =
            live().stream().filter(condition.negate()).map(FleetNode::toString).toList();
        throw new AssertionError("not reached within " + limit + " on " + missing);
      }
      time.advance(Duration.ofMillis(50));
    }
    return (time.nanos() - start) / 1e9;
  }

  /** Runs until every running node sees exactly the running nodes. */
  double runUntilAgreed(Duration limit) {
    return runUntil(limit, n -> n.sees(live()));
  }

  void send(FleetNode from, HostId to, PeerMessage message) {
    deliver(from, nodes.get(to.value()), message);
  }

  void sendToAddress(FleetNode from, String address, PeerMessage message) {
    deliver(from, nodes.get(address.substring(0, address.indexOf(':'))), message);
  }

  private void deliver(
      FleetNode from, @org.jspecify.annotations.Nullable FleetNode to, PeerMessage message) {
    messages++;
    if (to == null || to == from || cut.test(from, to) || random.nextDouble() < loss) {
      return;
    }
    boolean near = from.region().equals(to.region());
    Duration delay = Duration.ofMillis(near ? 1 + random.nextInt(2) : 30 + random.nextInt(20));
    long incarnation = from.incarnation();
    time.schedule(delay, () -> to.receive(from.host(), incarnation, message));
  }

  /** Applies an action to each of some nodes. */
  void each(List<FleetNode> some, Consumer<FleetNode> action) {
    new ArrayList<>(some).forEach(action);
  }
}
