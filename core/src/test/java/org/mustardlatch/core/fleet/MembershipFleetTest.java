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

/** Membership of a small fleet under seeded faults, in virtual time. */
class MembershipFleetTest {
  private static final int SEEDS = 40;
  private static final int SIZE = 14;

  /** Runs a schedule for every seed, on a fleet that has joined. */
  private static void forSeeds(int seeds, int size, Consumer<Fleet> schedule) {
    for (int seed : Seeds.of("fleet", seeds)) {
      Fleet fleet = new Fleet(seed);
      fleet.startAll(0, size);
      try {
        fleet.runUntilAgreed(Duration.ofSeconds(20));
        schedule.accept(fleet);
      } catch (AssertionError e) {
        throw new AssertionError("seed " + seed, e);
      }
    }
  }

  /** Guards against a failure detector that takes lost messages for death. */
  @Test
  void noLiveNodeIsDeclaredDeadForGoodWhenThirtyPercentOfMessagesAreLost() {
    forSeeds(
        SEEDS,
        SIZE,
        fleet -> {
          fleet.loss = 0.3;
          fleet.run(Duration.ofMinutes(2));
          fleet.loss = 0;
          fleet.runUntilAgreed(Duration.ofSeconds(30));
          for (FleetNode n : fleet.live()) {
            assertWithMessage("fenced %s", n).that(n.fencedIncarnation).isEqualTo(0);
          }
        });
  }

  /** Guards against a paused node that goes on as if nobody had declared it dead. */
  @Test
  void aPausedNodeIsSuspectedAndReturnsWithAHigherIncarnation() {
    forSeeds(
        SEEDS,
        SIZE,
        fleet -> {
          FleetNode victim = fleet.node(fleet.random.nextInt(SIZE));
          long before = victim.incarnation();
          victim.pause(Duration.ofSeconds(6 + fleet.random.nextInt(40)));
          fleet.run(Duration.ofSeconds(6));
          assertThat(fleet.live().stream().anyMatch(n -> n.suspected.contains(victim.host())))
              .isTrue();
          fleet.run(Duration.ofSeconds(45));
          fleet.runUntilAgreed(Duration.ofSeconds(10));
          assertThat(victim.incarnation()).isGreaterThan(before);
          assertThat(victim.fencedIncarnation).isEqualTo(victim.incarnation());
          for (FleetNode n : fleet.live()) {
            assertThat(n.incarnationOf(victim.host())).isEqualTo(victim.incarnation());
          }
        });
  }

  /** Guards against a short pause that cancels the attempts of a healthy node. */
  @Test
  void aShortPauseKeepsTheIncarnation() {
    forSeeds(
        SEEDS,
        SIZE,
        fleet -> {
          FleetNode victim = fleet.node(fleet.random.nextInt(SIZE));
          long before = victim.incarnation();
          victim.pause(Duration.ofMillis(4_500));
          fleet.run(Duration.ofSeconds(20));
          fleet.runUntilAgreed(Duration.ofSeconds(10));
          assertThat(victim.incarnation()).isEqualTo(before);
        });
  }

  /** Guards the bound of design 4.6: detection, suspicion and refutation within 18 s. */
  @Test
  void aKilledNodeIsRemovedEverywhere() {
    forSeeds(
        SEEDS,
        SIZE,
        fleet -> {
          fleet.node(fleet.random.nextInt(SIZE)).kill();
          fleet.runUntilAgreed(Duration.ofSeconds(18));
        });
  }

  /** Guards against a partition that makes each side forget the other, or flap when it heals. */
  @Test
  void aRegionThatIsCutOffIsUnreachableThenGoneAndReturnsAtOnceWhenItHeals() {
    forSeeds(
        SEEDS,
        SIZE,
        fleet -> {
          fleet.cut = (a, b) -> !a.region().equals(b.region());
          fleet.run(Duration.ofSeconds(8));
          for (FleetNode n : fleet.live()) {
            assertThat(n.seesUnreachable(n.region().equals("r0") ? "r1" : "r0")).isTrue();
            assertThat(n.sees(fleet.live())).isTrue();
          }
          fleet.run(Duration.ofSeconds(70));
          for (FleetNode n : fleet.live()) {
            assertThat(
                    n.sees(
                        fleet.live().stream().filter(o -> o.region().equals(n.region())).toList()))
                .isTrue();
          }
          fleet.cut = (a, b) -> false;
          fleet.runUntilAgreed(Duration.ofSeconds(5));
          for (FleetNode n : fleet.live()) {
            assertThat(n.everGone).isEmpty();
            assertThat(n.fencedIncarnation).isEqualTo(0);
          }
        });
  }

  /** Guards against halves of one region that never meet again after both declared deaths. */
  @Test
  void halvesOfARegionMeetAgain() {
    forSeeds(
        SEEDS,
        SIZE,
        fleet -> {
          fleet.cut = (a, b) -> side(a) != side(b);
          fleet.run(Duration.ofSeconds(90));
          fleet.cut = (a, b) -> false;
          fleet.runUntilAgreed(Duration.ofSeconds(60));
        });
  }

  private static boolean side(FleetNode n) {
    return Integer.parseInt(n.host().value().substring(1)) < SIZE / 2;
  }

  @Test
  void aRackThatDiesAtOnceIsRemovedAndNobodyElse() {
    forSeeds(
        SEEDS,
        SIZE,
        fleet -> {
          List<FleetNode> all = new ArrayList<>(fleet.live());
          Collections.shuffle(all, fleet.random);
          fleet.each(all.subList(0, 4), FleetNode::kill);
          fleet.runUntilAgreed(Duration.ofSeconds(25));
          fleet.run(Duration.ofSeconds(20));
          fleet.runUntilAgreed(Duration.ofSeconds(1));
        });
  }

  @Test
  void allNodesAreReplacedOneAfterAnother() {
    forSeeds(
        SEEDS / 4,
        SIZE,
        fleet -> {
          List<FleetNode> old = new ArrayList<>(fleet.live());
          for (int i = 0; i < old.size(); i++) {
            old.get(i).leave();
            String seed = fleet.node((i + 1) % SIZE + (i + 1 < SIZE ? 0 : SIZE)).host() + ":1";
            fleet.start("m" + i, old.get(i).region(), List.of(seed));
            fleet.run(Duration.ofSeconds(3));
          }
          fleet.runUntilAgreed(Duration.ofSeconds(20));
          assertThat(fleet.live()).hasSize(SIZE);
        });
  }

  /** The object service is never read in this test, and two of three seeds are gone. */
  @Test
  void nodesJoinThroughTheOnlySeedLeftWhileTheObjectServiceIsDown() {
    forSeeds(
        SEEDS,
        SIZE,
        fleet -> {
          fleet.storeDown = true;
          fleet.node(1).kill();
          fleet.node(2).kill();
          for (int i = 0; i < 4; i++) {
            fleet.start("j" + i, i % 2 == 0 ? "r0" : "r1", fleet.seeds());
          }
          fleet.runUntilAgreed(Duration.ofSeconds(25));
        });
  }
}
