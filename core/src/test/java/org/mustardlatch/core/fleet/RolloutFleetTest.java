package org.mustardlatch.core.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.Seeds;
import org.mustardlatch.core.rollout.RolloutEvent;

/** Invariant I8: an accepted configuration is in force everywhere within 4 s and never reverts. */
class RolloutFleetTest {
  private static final int SEEDS = 60;
  private static final int SIZE = 14;
  private static final Duration BOUND = Duration.ofSeconds(4);

  private static Fleet fleet(int seed) {
    Fleet fleet = new Fleet(seed);
    fleet.storedRevision = 1;
    fleet.storedText = "text 1";
    fleet.startAll(0, SIZE);
    fleet.runUntilAgreed(Duration.ofSeconds(20));
    fleet.runUntil(Duration.ofSeconds(20), n -> n.rollout.revision() == 1 && n.rollout.ready());
    return fleet;
  }

  private static void publish(Fleet fleet, FleetNode by, long revision) {
    fleet.storedRevision = revision;
    fleet.storedText = "text " + revision;
    by.toRollout(new RolloutEvent.Published(revision, fleet.storedText));
    Duration step = Duration.ofMillis(10);
    for (int i = 0; i < 1_000 && by.acceptedRevision < revision; i++) {
      fleet.run(step);
    }
    assertThat(by.acceptedRevision).isEqualTo(revision);
  }

  private static void assertNeverBack(Fleet fleet) {
    for (FleetNode n : fleet.nodes.values()) {
      assertThat(n.appliedRevisions).isInStrictOrder();
    }
  }

  /**
   * The publisher dies and the object service fails right after the acceptance, a tenth of the
   * messages is lost, and fresh nodes join meanwhile.
   */
  @Test
  void anAcceptedRevisionIsInForceEverywhereWithinFourSecondsWhateverFailsNext() {
    for (int seed : Seeds.of("fleet", SEEDS)) {
      Fleet fleet = fleet(seed);
      fleet.loss = 0.1;
      for (long revision = 2; revision <= 3; revision++) {
        List<FleetNode> live = List.copyOf(fleet.live());
        FleetNode publisher = live.get(fleet.random.nextInt(live.size()));
        publish(fleet, publisher, revision);
        fleet.storeDown = true;
        if (fleet.random.nextBoolean()) {
          publisher.kill();
        }
        long accepted = revision;
        List<FleetNode> before = List.copyOf(fleet.live());
        fleet.start("f" + revision + "a", "r0", fleet.seeds());
        fleet.start("f" + revision + "b", "r1", fleet.seeds());
        fleet.run(BOUND);
        for (FleetNode n : before) {
          assertWithMessage("seed %s, %s", seed, n).that(n.rollout.revision()).isEqualTo(accepted);
        }
        fleet.runUntil(
            Duration.ofSeconds(20), n -> n.rollout.ready() && n.rollout.revision() >= accepted);
        fleet.run(Duration.ofSeconds(20));
        fleet.storeDown = false;
      }
      assertNeverBack(fleet);
    }
  }

  /** Guards against a fresh node that serves with what a node that lags behind told it. */
  @Test
  void aFreshNodeIsNotReadyBeforeItHasTheAcceptedRevision() {
    for (int seed : Seeds.of("fleet", SEEDS)) {
      Fleet fleet = fleet(seed);
      fleet.storeDown = true;
      FleetNode fresh = fleet.start("fresh", "r1", fleet.seeds());
      publish(fleet, fleet.node(fleet.random.nextInt(SIZE)), 2);
      for (int i = 0; i < 200; i++) {
        fleet.run(Duration.ofMillis(50));
        if (fresh.rollout.ready()) {
          assertWithMessage("seed %s", seed).that(fresh.rollout.revision()).isEqualTo(2);
        }
      }
      assertThat(fresh.rollout.ready()).isTrue();
      assertNeverBack(fleet);
    }
  }

  /** A side without the object service keeps its revision and moves on when it is joined again. */
  @Test
  void theCutOffRegionCatchesUpWithinFourSecondsAfterThePartitionHeals() {
    for (int seed : Seeds.of("fleet", SEEDS / 2)) {
      Fleet fleet = fleet(seed);
      fleet.cut = (a, b) -> !a.region().equals(b.region());
      fleet.run(Duration.ofSeconds(10 + fleet.random.nextInt(80)));
      publish(fleet, fleet.node(0), 2);
      fleet.run(BOUND);
      for (FleetNode n : fleet.live()) {
        assertThat(n.rollout.revision()).isEqualTo(n.region().equals("r0") ? 2 : 1);
      }
      fleet.cut = (a, b) -> false;
      fleet.run(BOUND);
      for (FleetNode n : fleet.live()) {
        assertWithMessage("seed %s, %s", seed, n).that(n.rollout.revision()).isEqualTo(2);
      }
      assertNeverBack(fleet);
    }
  }
}
