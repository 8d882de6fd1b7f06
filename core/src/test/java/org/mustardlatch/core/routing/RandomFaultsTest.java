package org.mustardlatch.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.mustardlatch.core.routing.Fixtures.MILLI;
import static org.mustardlatch.core.routing.Fixtures.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.Seeds;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.manifest.Objective;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.RequestId;

/**
 * Runs random schedules of requests and faults on a simulated fleet. Guards against requests
 * without a response or with two, and against reservations and engine work that remain after all
 * requests have ended. A failure can be repeated with its seed.
 */
class RandomFaultsTest {
  private static final int SEED_COUNT = 300;

  private static FleetSimulation newFleet(long seed) {
    Objective objective = seed % 2 == 0 ? Objective.CREST_AVERSE : Objective.WASTE_AVERSE;
    List<Upstream> engines = seed % 3 == 0 ? Fixtures.mixedEngines(6) : Fixtures.enginePools(3, 3);
    return new FleetSimulation(seed, 4, Fixtures.manifest(objective, engines));
  }

  private static void scheduleRequests(
      FleetSimulation f, SplittableRandom r, int count, long span) {
    for (int i = 0; i < count; i++) {
      long at = f.nowNanos + r.nextLong(span);
      String id = "r" + i;
      FleetSimulation.Node node = f.nodes.get(r.nextInt(f.nodes.size()));
      int tokens = 200 + r.nextInt(4000);
      f.runAt(at, () -> f.sendRequest(node, Fixtures.request(id, tokens, at)));
      if (r.nextInt(10) == 0) {
        f.runAt(at + r.nextLong(2 * SECOND), () -> f.disconnectCaller(node, new RequestId(id)));
      }
      f.runAt(at + 90 * SECOND, () -> markDisconnected(f, node, id));
    }
  }

  /** Records the caller of a crashed node as disconnected. */
  private static void markDisconnected(FleetSimulation f, FleetSimulation.Node node, String id) {
    if (node.crashed) {
      f.disconnectedRequests.add(new RequestId(id));
    }
  }

  private static void scheduleFaults(FleetSimulation f, SplittableRandom r, long span) {
    f.messageLossRate = r.nextInt(3) == 0 ? 0.02 : 0;
    f.engineRefusalRate = r.nextInt(3) == 0 ? 0.05 : 0;
    List<FleetSimulation.Engine> engines = new ArrayList<>(f.engines.values());
    for (int i = 0; i < 5; i++) {
      long at = f.nowNanos + r.nextLong(span);
      FleetSimulation.Engine e = engines.get(r.nextInt(engines.size()));
      FleetSimulation.Node n = f.nodes.get(1 + r.nextInt(f.nodes.size() - 1));
      switch (r.nextInt(6)) {
        case 0 -> f.runAt(at, () -> f.crashEngine(e, 4 * SECOND));
        case 1 -> f.runAt(at, () -> e.stalledUntilNanos = f.nowNanos + 5 * SECOND);
        case 2 -> f.runAt(at, () -> e.slowdownFactor = 4);
        case 3 -> f.runAt(at, () -> f.pauseNode(n, 200 * MILLI + r.nextLong(12 * SECOND)));
        case 4 -> f.runAt(at, () -> f.crashNode(n));
        default -> f.runAt(at, () -> startLeaving(f, e));
      }
    }
  }

  private static void startLeaving(FleetSimulation f, FleetSimulation.Engine e) {
    e.leavingSinceNanos = Math.min(e.leavingSinceNanos, f.nowNanos);
    f.nodes.get(0).deliver(new RoutingEvent.UpstreamLeaving(e.upstream.id()));
  }

  private static void assertConsistent(FleetSimulation f, long seed) {
    assertWithMessage("seed %s: violations", seed).that(f.violations).isEmpty();
    for (RequestId id : f.requests.keySet()) {
      int responses = f.responseCounts.getOrDefault(id, 0);
      if (f.disconnectedRequests.contains(id)) {
        assertWithMessage("seed %s: responses to %s, whose caller disconnected", seed, id)
            .that(responses)
            .isAtMost(1);
      } else {
        assertWithMessage("seed %s: responses to %s", seed, id).that(responses).isEqualTo(1);
      }
    }
    for (FleetSimulation.Node n : f.nodes) {
      if (!n.crashed) {
        assertWithMessage("seed %s: open requests on %s", seed, n.host)
            .that(n.router.openRequests())
            .isEqualTo(0);
        assertWithMessage("seed %s: open reservations on %s", seed, n.host)
            .that(n.router.openReservations())
            .isEqualTo(0);
      }
    }
    f.engines
        .values()
        .forEach(
            e ->
                assertWithMessage("seed %s: remaining work on %s", seed, e.upstream.id())
                    .that(e.workByAttempt.keySet())
                    .isEmpty());
  }

  @Test
  void everyRequestGetsOneResponseAndNoWorkRemainsAfterFaults() {
    for (int seed : Seeds.of("routing", SEED_COUNT)) {
      FleetSimulation f = newFleet(seed);
      SplittableRandom r = new SplittableRandom(seed);
      f.advanceTo(f.nowNanos + 3 * SECOND);
      scheduleRequests(f, r, 150, 20 * SECOND);
      scheduleFaults(f, r, 20 * SECOND);
      f.advanceTo(f.nowNanos + 150 * SECOND);
      assertConsistent(f, seed);
    }
  }

  @Test
  void requestIsQuarantinedAfterItCrashedTwoEngines() {
    for (int seed : Seeds.of("routing", 100)) {
      FleetSimulation f = newFleet(seed);
      SplittableRandom r = new SplittableRandom(seed);
      f.advanceTo(f.nowNanos + 3 * SECOND);
      Fingerprint crashing = Fixtures.fingerprint(666);
      f.crashingFingerprints.add(crashing);
      scheduleRequests(f, r, 60, 20 * SECOND);
      for (int i = 0; i < 8; i++) {
        String id = "x" + i;
        FleetSimulation.Node n = f.nodes.get(r.nextInt(f.nodes.size()));
        f.runAfter(
            i * 2L * SECOND,
            () -> f.sendRequest(n, Fixtures.request(id, 500, crashing, f.nowNanos)));
      }
      f.advanceTo(f.nowNanos + 150 * SECOND);
      assertConsistent(f, seed);
      assertWithMessage("seed %s", seed).that(f.crashCounts.getOrDefault(crashing, 0)).isAtMost(2);
      RoutingCommand last = f.finalResponses.get(new RequestId("x7"));
      assertThat(last).isInstanceOf(RoutingCommand.Refuse.class);
      assertThat(String.valueOf(last)).contains(ErrorCode.REQUEST_QUARANTINED.name());
    }
  }
}
