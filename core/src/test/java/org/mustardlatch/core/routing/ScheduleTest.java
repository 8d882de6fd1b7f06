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

/** Random schedules of requests and faults; every seed is repeatable. */
class ScheduleTest {
  private static final int SEEDS = 300;

  private static FakeFleet fleet(long seed) {
    Objective objective = seed % 2 == 0 ? Objective.CREST_AVERSE : Objective.WASTE_AVERSE;
    List<Upstream> engines = seed % 3 == 0 ? Fixtures.mixed(6) : Fixtures.pools(3, 3);
    return new FakeFleet(seed, 4, Fixtures.manifest(objective, engines));
  }

  private static void requests(FakeFleet f, SplittableRandom r, int count, long span) {
    for (int i = 0; i < count; i++) {
      long at = f.now + r.nextLong(span);
      String id = "r" + i;
      FakeFleet.Node node = f.nodes.get(r.nextInt(f.nodes.size()));
      int tokens = 200 + r.nextInt(4000);
      f.at(at, () -> f.arrive(node, Fixtures.request(id, tokens, at)));
      if (r.nextInt(10) == 0) {
        f.at(at + r.nextLong(2 * SECOND), () -> f.leave(node, new RequestId(id)));
      }
      f.at(at + 90 * SECOND, () -> markLost(f, node, id));
    }
  }

  /** The callers of a node that died lose their connections. */
  private static void markLost(FakeFleet f, FakeFleet.Node node, String id) {
    if (node.dead) {
      f.gone.add(new RequestId(id));
    }
  }

  private static void faults(FakeFleet f, SplittableRandom r, long span) {
    f.loss = r.nextInt(3) == 0 ? 0.02 : 0;
    f.refusals = r.nextInt(3) == 0 ? 0.05 : 0;
    List<FakeFleet.Engine> engines = new ArrayList<>(f.engines.values());
    for (int i = 0; i < 5; i++) {
      long at = f.now + r.nextLong(span);
      FakeFleet.Engine e = engines.get(r.nextInt(engines.size()));
      FakeFleet.Node n = f.nodes.get(1 + r.nextInt(f.nodes.size() - 1));
      switch (r.nextInt(6)) {
        case 0 -> f.at(at, () -> f.crash(e, 4 * SECOND));
        case 1 -> f.at(at, () -> e.stalledUntil = f.now + 5 * SECOND);
        case 2 -> f.at(at, () -> e.slowness = 4);
        case 3 -> f.at(at, () -> f.pause(n, 200 * MILLI + r.nextLong(12 * SECOND)));
        case 4 -> f.at(at, () -> f.kill(n));
        default -> f.at(at, () -> leaveUpstream(f, e));
      }
    }
  }

  private static void leaveUpstream(FakeFleet f, FakeFleet.Engine e) {
    e.leavingSince = Math.min(e.leavingSince, f.now);
    f.nodes.get(0).event(new RoutingEvent.UpstreamLeaving(e.upstream.id()));
  }

  private static void assertClean(FakeFleet f, long seed) {
    assertWithMessage("seed %s: violations", seed).that(f.violations).isEmpty();
    for (RequestId id : f.requests.keySet()) {
      int answers = f.answers.getOrDefault(id, 0);
      if (f.gone.contains(id)) {
        assertWithMessage("seed %s: answers to %s, whose caller left", seed, id)
            .that(answers)
            .isAtMost(1);
      } else {
        assertWithMessage("seed %s: answers to %s", seed, id).that(answers).isEqualTo(1);
      }
    }
    for (FakeFleet.Node n : f.nodes) {
      if (!n.dead) {
        assertWithMessage("seed %s: requests left on %s", seed, n.host)
            .that(n.router.openRequests())
            .isEqualTo(0);
        assertWithMessage("seed %s: reservations left on %s", seed, n.host)
            .that(n.router.openReservations())
            .isEqualTo(0);
      }
    }
    f.engines
        .values()
        .forEach(
            e ->
                assertWithMessage("seed %s: held by %s", seed, e.upstream.id())
                    .that(e.held.keySet())
                    .isEmpty());
  }

  @Test
  void everyRequestEndsOnceAndNothingIsLeftBehindUnderFaults() {
    for (int seed : Seeds.of("routing", SEEDS)) {
      FakeFleet f = fleet(seed);
      SplittableRandom r = new SplittableRandom(seed);
      f.runUntil(f.now + 3 * SECOND);
      requests(f, r, 150, 20 * SECOND);
      faults(f, r, 20 * SECOND);
      f.runUntil(f.now + 150 * SECOND);
      assertClean(f, seed);
    }
  }

  @Test
  void aRequestThatCrashesEnginesIsQuarantinedAfterTwoCrashes() {
    for (int seed : Seeds.of("routing", 100)) {
      FakeFleet f = fleet(seed);
      SplittableRandom r = new SplittableRandom(seed);
      f.runUntil(f.now + 3 * SECOND);
      Fingerprint poison = Fixtures.fingerprint(666);
      f.poison.add(poison);
      requests(f, r, 60, 20 * SECOND);
      for (int i = 0; i < 8; i++) {
        String id = "x" + i;
        FakeFleet.Node n = f.nodes.get(r.nextInt(f.nodes.size()));
        f.after(i * 2L * SECOND, () -> f.arrive(n, Fixtures.request(id, 500, poison, f.now)));
      }
      f.runUntil(f.now + 150 * SECOND);
      assertClean(f, seed);
      assertWithMessage("seed %s", seed).that(f.crashes.getOrDefault(poison, 0)).isAtMost(2);
      RoutingCommand last = f.finals.get(new RequestId("x7"));
      assertThat(last).isInstanceOf(RoutingCommand.Refuse.class);
      assertThat(String.valueOf(last)).contains(ErrorCode.REQUEST_QUARANTINED.name());
    }
  }
}
