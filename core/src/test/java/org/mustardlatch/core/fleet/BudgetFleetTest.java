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
import org.mustardlatch.core.membership.RendezvousHash;
import org.mustardlatch.core.model.HostId;

/** Tests shared budgets in virtual time while demand shifts between nodes and owners are killed. */
class BudgetFleetTest {
  private static final int SEEDS = 30;
  private static final int FLEET_SIZE = 10;
  private static final double UNITS_PER_SECOND = 50;
  private static final String BUDGET = "workspace/w";
  private static final Duration STEP = Duration.ofMillis(20);
  private static final int STEPS_PER_SECOND = 50;

  private long lastTicket;

  private FleetSimulation startFleet(int seed) {
    FleetSimulation fleet = new FleetSimulation(seed);
    for (int i = 0; i < FLEET_SIZE; i++) {
      fleet.start("n" + i, "r0", fleet.joinAddresses());
    }
    fleet.runningNodes().forEach(this::configure);
    fleet.runUntilMembershipAgrees(Duration.ofSeconds(20));
    return fleet;
  }

  private void configure(SimulatedNode n) {
    n.budgetOwner.configure(Map.of(BUDGET, BudgetTerms.perSecond(UNITS_PER_SECOND)));
  }

  /**
   * Advances one second in which the active nodes together request a multiple of the rate; returns
   * the number of grants.
   */
  private int runOneSecond(FleetSimulation fleet, List<SimulatedNode> active, double rateMultiple) {
    double perStep = UNITS_PER_SECOND * rateMultiple / STEPS_PER_SECOND;
    for (int i = 0; i < STEPS_PER_SECOND; i++) {
      int wanted = (int) perStep + (fleet.random.nextDouble() < perStep % 1 ? 1 : 0);
      for (int k = 0; k < wanted; k++) {
        active.get(fleet.random.nextInt(active.size())).spend(++lastTicket, BUDGET, 1);
      }
      fleet.advance(STEP);
    }
    return fleet.runningNodes().stream().mapToInt(SimulatedNode::drainGrantedCount).sum();
  }

  private static List<SimulatedNode> randomSubset(FleetSimulation fleet) {
    List<SimulatedNode> live = new ArrayList<>(fleet.runningNodes());
    Collections.shuffle(live, fleet.random);
    return live.subList(0, 1 + fleet.random.nextInt(live.size()));
  }

  private static SimulatedNode owner(FleetSimulation fleet) {
    List<HostId> hosts = fleet.runningNodes().stream().map(SimulatedNode::host).toList();
    HostId owner = RendezvousHash.rank("budget/" + BUDGET, hosts, 1).getFirst();
    return fleet.runningNodes().stream()
        .filter(n -> n.host().equals(owner))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Guards the bound R(T + 2L) of {@code BudgetOwner}, and against units that are leased to nodes
   * without demand and expire unspent when demand shifts.
   */
  @Test
  void shiftingDemandSpendsAtMostTheBoundAndAtLeast70PercentOfTheRate() {
    for (int seed : Seeds.of("fleet", SEEDS)) {
      FleetSimulation fleet = startFleet(seed);
      int seconds = 30;
      int granted = 0;
      for (int s = 0; s < seconds; s++) {
        granted += runOneSecond(fleet, randomSubset(fleet), 3);
      }
      assertWithMessage("seed %s", seed)
          .that((double) granted)
          .isAtMost(UNITS_PER_SECOND * (seconds + 2));
      assertWithMessage("seed %s", seed)
          .that((double) granted)
          .isAtLeast(UNITS_PER_SECOND * seconds * 0.7);
    }
  }

  /** Guards against refusals although the demand is within the rate. */
  @Test
  void demandOfHalfTheRateIsGrantedToAtLeast99Percent() {
    for (int seed : Seeds.of("fleet", SEEDS)) {
      FleetSimulation fleet = startFleet(seed);
      List<SimulatedNode> all = new ArrayList<>(fleet.runningNodes());
      runOneSecond(fleet, all, 0.5);
      int granted = 0;
      long ticketsBefore = lastTicket;
      for (int s = 0; s < 20; s++) {
        granted += runOneSecond(fleet, all, 0.5);
      }
      assertWithMessage("seed %s", seed)
          .that((double) granted)
          .isAtLeast((lastTicket - ticketsBefore) * 0.99);
    }
  }

  /**
   * Guards the bound RL of a change of owner (see {@code BudgetOwner}), and against a budget that
   * no node grants after its owner was killed.
   */
  @Test
  void killedOwnerAddsAtMostOneLeaseTimeOfUnitsAndGrantsContinue() {
    for (int seed : Seeds.of("fleet", SEEDS)) {
      FleetSimulation fleet = startFleet(seed);
      int seconds = 40;
      int ownerChanges = 0;
      int granted = 0;
      int fewestPerSecond = Integer.MAX_VALUE;
      for (int s = 0; s < seconds; s++) {
        if (s % 15 == 5) {
          owner(fleet).kill();
          ownerChanges++;
        }
        int grantedInSecond = runOneSecond(fleet, randomSubset(fleet), 3);
        fewestPerSecond = Math.min(fewestPerSecond, grantedInSecond);
        granted += grantedInSecond;
      }
      // Killed nodes lose their leased units, so the bound covers the grants of the others.
      double bound = UNITS_PER_SECOND * (seconds + 2 + ownerChanges);
      assertWithMessage("seed %s", seed).that((double) granted).isAtMost(bound);
      assertWithMessage("seed %s", seed)
          .that(fewestPerSecond)
          .isAtLeast((int) (UNITS_PER_SECOND * 0.1));
    }
  }
}
