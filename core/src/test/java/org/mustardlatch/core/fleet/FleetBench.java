package org.mustardlatch.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.mustardlatch.core.rollout.RolloutEvent;

/**
 * Benchmark of the times in which a large fleet joins, distributes a revision and detects failures,
 * in virtual time; run by {@code bin/bench-peers --virtual [nodes]}.
 */
public final class FleetBench {
  private static final int SEEDS = 3;

  private FleetBench() {}

  /** Runs the benchmark. */
  public static void main(String[] arguments) {
    int size = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 390;
    for (int seed = 1; seed <= SEEDS; seed++) {
      run(size, seed);
    }
  }

  private static void run(int size, int seed) {
    long startNanos = System.nanoTime();
    FleetSimulation fleet = new FleetSimulation(seed);
    for (int i = 0; i < size; i++) {
      fleet.start("n" + i, i % 2 == 0 ? "r0" : "r1", fleet.joinAddresses());
      fleet.advance(Duration.ofMillis(20));
    }
    double joined = fleet.runUntilMembershipAgrees(Duration.ofSeconds(60));
    long messagesBefore = fleet.messagesSent;
    fleet.advance(Duration.ofSeconds(20));
    double messagesPerSecond = (fleet.messagesSent - messagesBefore) / 20.0 / size;
    print(seed, "join of the last node", joined);
    System.out.printf(Locale.ROOT, "seed %d: %.1f messages/s per node%n", seed, messagesPerSecond);
    fleet.storedRevision = 1;
    fleet
        .nodeAt(fleet.random.nextInt(size))
        .handleRolloutEvent(new RolloutEvent.Published(1, "text"));
    print(
        seed,
        "revision active on all nodes",
        fleet.runUntil(limit(), n -> n.rollout.revision() == 1));
    fleet.lossProbability = 0.3;
    fleet
        .nodeAt(fleet.random.nextInt(size))
        .handleRolloutEvent(new RolloutEvent.Published(2, "text"));
    print(
        seed,
        "revision active on all nodes with 30% message loss",
        fleet.runUntil(limit(), n -> n.rollout.revision() == 2));
    fleet.lossProbability = 0;
    fleet.advance(Duration.ofSeconds(20));
    fleet.nodeAt(size - 1).kill();
    print(seed, "one killed node removed everywhere", fleet.runUntilMembershipAgrees(limit()));
    List<SimulatedNode> live = new ArrayList<>(fleet.runningNodes());
    Collections.shuffle(live, fleet.random);
    fleet.applyToEach(live.subList(0, Math.min(20, size / 4)), SimulatedNode::kill);
    print(
        seed,
        "20 nodes killed together removed everywhere",
        fleet.runUntilMembershipAgrees(limit()));
    fleet.isPartitioned = (a, b) -> !a.region().equals(b.region());
    fleet.advance(Duration.ofSeconds(90));
    fleet.isPartitioned = (a, b) -> false;
    print(
        seed,
        "member lists agree again, partition of 90 s healed",
        fleet.runUntilMembershipAgrees(limit()));
    System.out.printf(
        Locale.ROOT,
        "seed %d: %.1f s of wall time%n",
        seed,
        (System.nanoTime() - startNanos) / 1e9);
  }

  private static Duration limit() {
    return Duration.ofSeconds(60);
  }

  private static void print(int seed, String what, double seconds) {
    System.out.printf(Locale.ROOT, "seed %d: %s after %.2f s%n", seed, what, seconds);
  }
}
