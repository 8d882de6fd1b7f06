package org.mustardlatch.core.orders;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/**
 * Guards against orders of two holders at once and against engines that stay in the state of a late
 * order, under seeded schedules of pauses, deaths, lost answers and late writes and orders.
 */
class OrderScheduleTest {
  private static final int SEEDS = 300;

  @Test
  void holdersNeverOverlapAndEveryEngineReachesItsDesiredState() {
    long first = Long.getLong("orders.seed", 0);
    long count = Long.getLong("orders.seed") == null ? SEEDS : 1;
    int takeovers = 0;
    for (long seed = first; seed < first + count; seed++) {
      OrderSimulation world = new OrderSimulation(seed);
      world.run();
      takeovers += world.takeovers();
    }
    if (count == SEEDS) { // fewer changes of the holder would prove nothing about them
      assertWithMessage("takeovers").that(takeovers).isAtLeast(SEEDS / 2);
    }
  }
}
