package org.mustardlatch.core.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.Seeds;
import org.mustardlatch.core.budget.BudgetTerms;
import org.mustardlatch.core.membership.Rendezvous;
import org.mustardlatch.core.model.HostId;

/** Shared budgets while demand moves and owners vanish, in virtual time. */
class BudgetFleetTest {
  private static final int SEEDS = 30;
  private static final int SIZE = 10;
  private static final double RATE = 50;
  private static final String BUDGET = "workspace/w";
  private static final Duration STEP = Duration.ofMillis(20);
  private static final int STEPS_PER_SECOND = 50;

  private long ticket;

  private Fleet fleet(int seed) {
    Fleet fleet = new Fleet(seed);
    for (int i = 0; i < SIZE; i++) {
      fleet.start("n" + i, "r0", fleet.seeds());
    }
    fleet.live().forEach(this::configure);
    fleet.runUntilAgreed(Duration.ofSeconds(20));
    return fleet;
  }

  private void configure(FleetNode n) {
    n.budgetOwner.configure(Map.of(BUDGET, BudgetTerms.perSecond(RATE)));
  }

  /** Runs a second in which some nodes together want a multiple of the rate; returns the grants. */
  private int second(Fleet fleet, List<FleetNode> active, double multiple) {
    double perStep = RATE * multiple / STEPS_PER_SECOND;
    for (int i = 0; i < STEPS_PER_SECOND; i++) {
      int wanted = (int) perStep + (fleet.random.nextDouble() < perStep % 1 ? 1 : 0);
      for (int k = 0; k < wanted; k++) {
        active.get(fleet.random.nextInt(active.size())).spend(++ticket, BUDGET, 1);
      }
      fleet.run(STEP);
    }
    return fleet.live().stream().mapToInt(FleetNode::takeGranted).sum();
  }

  private static List<FleetNode> some(Fleet fleet) {
    List<FleetNode> live = new ArrayList<>(fleet.live());
    Collections.shuffle(live, fleet.random);
    return live.subList(0, 1 + fleet.random.nextInt(live.size()));
  }

  private static FleetNode owner(Fleet fleet) {
    List<HostId> hosts = fleet.live().stream().map(FleetNode::host).toList();
    HostId owner = Rendezvous.rank("budget/" + BUDGET, hosts, 1).getFirst();
    return fleet.live().stream().filter(n -> n.host().equals(owner)).findFirst().orElseThrow();
  }

  /** Guards the bound R(T + 2L) and against units that get lost when demand moves. */
  @Test
  void movingDemandSpendsNeitherMoreThanTheBoundNorMuchLessThanTheRate() {
    for (int seed : Seeds.of("fleet", SEEDS)) {
      Fleet fleet = fleet(seed);
      int seconds = 30;
      int granted = 0;
      for (int s = 0; s < seconds; s++) {
        granted += second(fleet, some(fleet), 3);
      }
      assertWithMessage("seed %s", seed).that((double) granted).isAtMost(RATE * (seconds + 2));
      assertWithMessage("seed %s", seed).that((double) granted).isAtLeast(RATE * seconds * 0.7);
    }
  }

  /** Guards against a budget that a demand within its rate can't use. */
  @Test
  void demandOfHalfTheRateIsGrantedAlmostAlways() {
    for (int seed : Seeds.of("fleet", SEEDS)) {
      Fleet fleet = fleet(seed);
      List<FleetNode> all = new ArrayList<>(fleet.live());
      second(fleet, all, 0.5);
      int granted = 0;
      long before = ticket;
      for (int s = 0; s < 20; s++) {
        granted += second(fleet, all, 0.5);
      }
      assertWithMessage("seed %s", seed).that((double) granted).isAtLeast((ticket - before) * 0.99);
    }
  }

  /** Guards the bound of a change of owner, RL, and against a budget without owner. */
  @Test
  void aVanishedOwnerCostsAtMostOneLeaseTimeOfUnitsAndNoStandstill() {
    for (int seed : Seeds.of("fleet", SEEDS)) {
      Fleet fleet = fleet(seed);
      int seconds = 40;
      int changes = 0;
      int granted = 0;
      int worst = Integer.MAX_VALUE;
      for (int s = 0; s < seconds; s++) {
        if (s % 15 == 5) {
          owner(fleet).kill();
          changes++;
        }
        int inSecond = second(fleet, some(fleet), 3);
        worst = Math.min(worst, inSecond);
        granted += inSecond;
      }
      // Killed nodes lose what they held, so the bound counts what the others were granted.
      double bound = RATE * (seconds + 2 + changes);
      assertWithMessage("seed %s", seed).that((double) granted).isAtMost(bound);
      assertWithMessage("seed %s", seed).that(worst).isAtLeast((int) (RATE * 0.1));
    }
  }
}
