package org.mustardlatch.core.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.Seeds;

/** Tests the membership of a small fleet under seeded faults, in virtual time. */
class MembershipFleetTest {
  private static final int SEEDS = 40;
  private static final int FLEET_SIZE = 14;

  /** Runs a schedule of faults for every random seed on a fleet whose nodes have all joined. */
  private static void forSeeds(int seeds, int size, Consumer<FleetSimulation> schedule) {
    for (int seed : Seeds.of("fleet", seeds)) {
      FleetSimulation fleet = new FleetSimulation(seed);
      fleet.startAll(0, size);
      try {
        fleet.runUntilMembershipAgrees(Duration.ofSeconds(20));
        schedule.accept(fleet);
      } catch (AssertionError e) {
        throw new AssertionError("seed " + seed, e);
      }
    }
  }

  /** Guards against a failure detector that declares nodes dead because of message loss. */
  @Test
  void noLiveNodeStaysDeadWhenThirtyPercentOfMessagesAreLost() {
    forSeeds(
        SEEDS,
        FLEET_SIZE,
        fleet -> {
          fleet.lossProbability = 0.3;
          fleet.advance(Duration.ofMinutes(2));
          fleet.lossProbability = 0;
          fleet.runUntilMembershipAgrees(Duration.ofSeconds(30));
          for (SimulatedNode n : fleet.runningNodes()) {
            assertWithMessage("fenced %s", n).that(n.fencedIncarnation).isEqualTo(0);
          }
        });
  }

  /**
   * Guards against a paused node that continues with its old incarnation although others may have
   * declared it dead.
   */
  @Test
  void pausedNodeIsSuspectedAndResumesWithHigherIncarnation() {
    forSeeds(
        SEEDS,
        FLEET_SIZE,
        fleet -> {
          SimulatedNode victim = fleet.nodeAt(fleet.random.nextInt(FLEET_SIZE));
          long before = victim.incarnation();
          victim.pause(Duration.ofSeconds(6 + fleet.random.nextInt(40)));
          fleet.advance(Duration.ofSeconds(6));
          assertThat(
                  fleet.runningNodes().stream().anyMatch(n -> n.suspected.contains(victim.host())))
              .isTrue();
          fleet.advance(Duration.ofSeconds(45));
          fleet.runUntilMembershipAgrees(Duration.ofSeconds(10));
          assertThat(victim.incarnation()).isGreaterThan(before);
          assertThat(victim.fencedIncarnation).isEqualTo(victim.incarnation());
          for (SimulatedNode n : fleet.runningNodes()) {
            assertThat(n.incarnationOf(victim.host())).isEqualTo(victim.incarnation());
          }
        });
  }

  /** Guards against nodes that started with outdated seeds and never meet. */
  @Test
  void nodesWithOutdatedSeedsMeetWhenTheirSeedsAreReplaced() {
    for (int seed : Seeds.of("fleet", SEEDS)) {
      FleetSimulation fleet = new FleetSimulation(seed);
      for (int i = 0; i < FLEET_SIZE; i++) {
        fleet.start("n" + i, i % 2 == 0 ? "r0" : "r1", List.of("gone1:1", "gone2:1"));
      }
      fleet.advance(Duration.ofSeconds(3));
      assertThat(fleet.nodeAt(5).seesExactly(List.of(fleet.nodeAt(5)))).isTrue();
      fleet.runningNodes().forEach(n -> n.changeSeeds(fleet.joinAddresses()));
      fleet.runUntilMembershipAgrees(Duration.ofSeconds(6));
    }
  }

  /** Guards against two parts of a fleet that meet only by the rare attempts of joined nodes. */
  @Test
  void partsOfAFleetMeetWhenTheSeedsOfOneAreReplacedByNodesThatStartLater() {
    for (int seed : Seeds.of("fleet", SEEDS)) {
      FleetSimulation fleet = new FleetSimulation(seed);
      for (int i = 0; i < 6; i++) {
        fleet.start("old" + i, i % 2 == 0 ? "r0" : "r1", List.of("old0:1"));
      }
      fleet.runUntilMembershipAgrees(Duration.ofSeconds(20));
      fleet.runningNodes().forEach(n -> n.changeSeeds(fleet.joinAddresses()));
      fleet.advance(Duration.ofSeconds(4));
      fleet.startAll(0, 6);
      fleet.runUntilMembershipAgrees(Duration.ofSeconds(6));
    }
  }

  /**
   * Guards against fencing, which cancels all attempts of a node, after a pause too short for it to
   * be declared dead.
   */
  @Test
  void shortPauseKeepsIncarnation() {
    forSeeds(
        SEEDS,
        FLEET_SIZE,
        fleet -> {
          SimulatedNode victim = fleet.nodeAt(fleet.random.nextInt(FLEET_SIZE));
          long before = victim.incarnation();
          victim.pause(Duration.ofMillis(4_500));
          fleet.advance(Duration.ofSeconds(20));
          fleet.runUntilMembershipAgrees(Duration.ofSeconds(10));
          assertThat(victim.incarnation()).isEqualTo(before);
        });
  }

  /**
   * Guards the bound of design section 4.6: detection, suspicion and refutation take at most 18 s
   * together.
   */
  @Test
  void killedNodeIsRemovedFromAllMemberLists() {
    forSeeds(
        SEEDS,
        FLEET_SIZE,
        fleet -> {
          fleet.nodeAt(fleet.random.nextInt(FLEET_SIZE)).kill();
          fleet.runUntilMembershipAgrees(Duration.ofSeconds(18));
        });
  }

  /**
   * Guards against a partition that makes the regions declare each other dead, or change their
   * member lists repeatedly when it heals.
   */
  @Test
  void partitionedRegionBecomesUnreachableIsExcludedAndReturnsWithin5SecondsAfterHealing() {
    forSeeds(
        SEEDS,
        FLEET_SIZE,
        fleet -> {
          fleet.isPartitioned = (a, b) -> !a.region().equals(b.region());
          fleet.advance(Duration.ofSeconds(8));
          for (SimulatedNode n : fleet.runningNodes()) {
            assertThat(n.considersUnreachable(n.region().equals("r0") ? "r1" : "r0")).isTrue();
            assertThat(n.seesExactly(fleet.runningNodes())).isTrue();
          }
          fleet.advance(Duration.ofSeconds(70));
          for (SimulatedNode n : fleet.runningNodes()) {
            assertThat(
                    n.seesExactly(
                        fleet.runningNodes().stream()
                            .filter(o -> o.region().equals(n.region()))
                            .toList()))
                .isTrue();
          }
          fleet.isPartitioned = (a, b) -> false;
          fleet.runUntilMembershipAgrees(Duration.ofSeconds(5));
          for (SimulatedNode n : fleet.runningNodes()) {
            assertThat(n.everRemoved).isEmpty();
            assertThat(n.fencedIncarnation).isEqualTo(0);
          }
        });
  }

  /**
   * Guards against two halves of a fleet that stay separate after each declared the nodes of the
   * other dead.
   */
  @Test
  void partitionedHalvesMergeAgain() {
    forSeeds(
        SEEDS,
        FLEET_SIZE,
        fleet -> {
          fleet.isPartitioned = (a, b) -> inLowerHalf(a) != inLowerHalf(b);
          fleet.advance(Duration.ofSeconds(90));
          fleet.isPartitioned = (a, b) -> false;
          fleet.runUntilMembershipAgrees(Duration.ofSeconds(60));
        });
  }

  private static boolean inLowerHalf(SimulatedNode n) {
    return Integer.parseInt(n.host().value().substring(1)) < FLEET_SIZE / 2;
  }

  @Test
  void onlyTheFourNodesKilledTogetherAreRemoved() {
    forSeeds(
        SEEDS,
        FLEET_SIZE,
        fleet -> {
          List<SimulatedNode> all = new ArrayList<>(fleet.runningNodes());
          Collections.shuffle(all, fleet.random);
          fleet.applyToEach(all.subList(0, 4), SimulatedNode::kill);
          fleet.runUntilMembershipAgrees(Duration.ofSeconds(25));
          fleet.advance(Duration.ofSeconds(20));
          fleet.runUntilMembershipAgrees(Duration.ofSeconds(1));
        });
  }

  @Test
  void membershipAgreesAfterAllNodesAreReplacedOneByOne() {
    forSeeds(
        SEEDS / 4,
        FLEET_SIZE,
        fleet -> {
          List<SimulatedNode> old = new ArrayList<>(fleet.runningNodes());
          for (int i = 0; i < old.size(); i++) {
            old.get(i).leave();
            String joinAddress =
                fleet.nodeAt((i + 1) % FLEET_SIZE + (i + 1 < FLEET_SIZE ? 0 : FLEET_SIZE)).host()
                    + ":1";
            fleet.start("m" + i, old.get(i).region(), List.of(joinAddress));
            fleet.advance(Duration.ofSeconds(3));
          }
          fleet.runUntilMembershipAgrees(Duration.ofSeconds(20));
          assertThat(fleet.runningNodes()).hasSize(FLEET_SIZE);
        });
  }

  /**
   * Guards against joins that depend on the object service, which is never read here, or on all
   * seeds, of which two of three are killed.
   */
  @Test
  void nodesJoinThroughTheOnlyRemainingSeedWhileTheObjectServiceIsDown() {
    forSeeds(
        SEEDS,
        FLEET_SIZE,
        fleet -> {
          fleet.storeDown = true;
          fleet.nodeAt(1).kill();
          fleet.nodeAt(2).kill();
          for (int i = 0; i < 4; i++) {
            fleet.start("j" + i, i % 2 == 0 ? "r0" : "r1", fleet.joinAddresses());
          }
          fleet.runUntilMembershipAgrees(Duration.ofSeconds(25));
        });
  }
}
