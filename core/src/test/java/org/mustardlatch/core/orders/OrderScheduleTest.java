package org.mustardlatch.core.orders;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/**
 * Guards against orders of two lease holders at the same time and against engines that stay in the
 * state of a delayed order, under seeded schedules of pauses, lost responses and delayed writes and
 * orders.
 */
class OrderScheduleTest {
  private static final int SEEDS = 300;

  @Test
  void holdersNeverOverlapAndEveryEngineReachesItsDesiredState() {
    long first = Long.getLong("orders.seed", 0);
    long count = Long.getLong("orders.seed") == null ? SEEDS : 1;
    int takeovers = 0;
    for (long seed = first; seed < first + count; seed++) {
      OrderSimulation simulation = new OrderSimulation(seed);
      simulation.run();
      takeovers += simulation.takeovers();
    }
    if (count == SEEDS) { // ensures that the schedules cover changes of the holder
      assertWithMessage("takeovers").that(takeovers).isAtLeast(SEEDS / 2);
    }
  }
}
