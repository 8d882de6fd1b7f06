package org.mustardlatch.core.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.Seeds;
import org.mustardlatch.core.rollout.RolloutEvent;

/**
 * Tests invariant I8 of the design: an accepted configuration is active on all nodes within 4 s and
 * never reverts.
 */
class RolloutFleetTest {
  private static final int SEEDS = 60;
  private static final int FLEET_SIZE = 14;
  private static final Duration ROLLOUT_BOUND = Duration.ofSeconds(4);

  private static FleetSimulation startFleet(int seed) {
    FleetSimulation fleet = new FleetSimulation(seed);
    fleet.storedRevision = 1;
    fleet.storedText = "text 1";
    fleet.startAll(0, FLEET_SIZE);
    fleet.runUntilMembershipAgrees(Duration.ofSeconds(20));
    fleet.runUntil(Duration.ofSeconds(20), n -> n.rollout.revision() == 1 && n.rollout.ready());
    return fleet;
  }

  /** Publishes a revision and advances time until the publisher reports that it is accepted. */
  private static void publish(FleetSimulation fleet, SimulatedNode publisher, long revision) {
    fleet.storedRevision = revision;
    fleet.storedText = "text " + revision;
    publisher.handleRolloutEvent(new RolloutEvent.Published(revision, fleet.storedText));
    Duration step = Duration.ofMillis(10);
    for (int i = 0; i < 1_000 && publisher.acceptedRevision < revision; i++) {
      fleet.advance(step);
    }
    assertThat(publisher.acceptedRevision).isEqualTo(revision);
  }

  private static void assertRevisionsNeverDecrease(FleetSimulation fleet) {
    for (SimulatedNode n : fleet.nodes.values()) {
      assertThat(n.appliedRevisions).isInStrictOrder();
    }
  }

  /**
   * Right after the acceptance the object service fails and the publisher is killed in about half
   * of the cases; a tenth of the messages is lost, and new nodes join meanwhile.
   */
  @Test
  void acceptedRevisionIsActiveOnAllNodesWithinFourSecondsDespiteFaults() {
    for (int seed : Seeds.of("fleet", SEEDS)) {
      FleetSimulation fleet = startFleet(seed);
      fleet.lossProbability = 0.1;
      for (long revision = 2; revision <= 3; revision++) {
        List<SimulatedNode> live = List.copyOf(fleet.runningNodes());
        SimulatedNode publisher = live.get(fleet.random.nextInt(live.size()));
        publish(fleet, publisher, revision);
        fleet.storeDown = true;
        if (fleet.random.nextBoolean()) {
          publisher.kill();
        }
        long accepted = revision;
        List<SimulatedNode> before = List.copyOf(fleet.runningNodes());
        fleet.start("f" + revision + "a", "r0", fleet.joinAddresses());
        fleet.start("f" + revision + "b", "r1", fleet.joinAddresses());
        fleet.advance(ROLLOUT_BOUND);
        for (SimulatedNode n : before) {
          assertWithMessage("seed %s, %s", seed, n).that(n.rollout.revision()).isEqualTo(accepted);
        }
        fleet.runUntil(
            Duration.ofSeconds(20), n -> n.rollout.ready() && n.rollout.revision() >= accepted);
        fleet.advance(Duration.ofSeconds(20));
        fleet.storeDown = false;
      }
      assertRevisionsNeverDecrease(fleet);
    }
  }

  /**
   * Guards against a new node that serves with an outdated revision received from a node that has
   * not yet applied the accepted one.
   */
  @Test
  void newNodeIsNotReadyBeforeItHasTheAcceptedRevision() {
    for (int seed : Seeds.of("fleet", SEEDS)) {
      FleetSimulation fleet = startFleet(seed);
      fleet.storeDown = true;
      SimulatedNode fresh = fleet.start("fresh", "r1", fleet.joinAddresses());
      publish(fleet, fleet.nodeAt(fleet.random.nextInt(FLEET_SIZE)), 2);
      for (int i = 0; i < 200; i++) {
        fleet.advance(Duration.ofMillis(50));
        if (fresh.rollout.ready()) {
          assertWithMessage("seed %s", seed).that(fresh.rollout.revision()).isEqualTo(2);
        }
      }
      assertThat(fresh.rollout.ready()).isTrue();
      assertRevisionsNeverDecrease(fleet);
    }
  }

  /**
   * Guards against a region that, cut off from the publisher, changes its revision, or does not
   * catch up after the partition heals.
   */
  @Test
  void partitionedRegionCatchesUpWithinFourSecondsAfterHealing() {
    for (int seed : Seeds.of("fleet", SEEDS / 2)) {
      FleetSimulation fleet = startFleet(seed);
      fleet.isPartitioned = (a, b) -> !a.region().equals(b.region());
      fleet.advance(Duration.ofSeconds(10 + fleet.random.nextInt(80)));
      publish(fleet, fleet.nodeAt(0), 2);
      fleet.advance(ROLLOUT_BOUND);
      for (SimulatedNode n : fleet.runningNodes()) {
        assertThat(n.rollout.revision()).isEqualTo(n.region().equals("r0") ? 2 : 1);
      }
      fleet.isPartitioned = (a, b) -> false;
      fleet.advance(ROLLOUT_BOUND);
      for (SimulatedNode n : fleet.runningNodes()) {
        assertWithMessage("seed %s, %s", seed, n).that(n.rollout.revision()).isEqualTo(2);
      }
      assertRevisionsNeverDecrease(fleet);
    }
  }
}
