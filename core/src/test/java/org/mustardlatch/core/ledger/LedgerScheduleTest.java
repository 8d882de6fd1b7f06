package org.mustardlatch.core.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against keys that run twice, wrong "not run" responses and calls without a response under
 * seeded schedules of crashes, pauses, lost responses, late writes, outages and several owners of
 * one shard. docs/PROOFS-ledger.md describes how to run one seed or more seeds.
 */
class LedgerScheduleTest {
  private static final int SEEDS = 600;

  @Test
  void everyKeyRunsAtMostOnceAndEveryResponseIsCorrect() {
    long first = Long.getLong("ledger.seed", 0);
    long count = Long.getLong("ledger.seeds", Long.getLong("ledger.seed") == null ? SEEDS : 1);
    Set<Class<?>> responseTypes = new HashSet<>();
    for (long seed = first; seed < first + count; seed++) {
      new LedgerSimulation(seed, responseTypes).run();
    }
    if (count >= SEEDS) { // all schedules together must cover these response types
      assertThat(responseTypes)
          .containsExactly(
              KeyedResponse.Ran.class,
              KeyedResponse.Recorded.class,
              KeyedResponse.NotRun.class,
              KeyedResponse.InProgress.class,
              KeyedResponse.OutcomeUnknown.class);
    }
  }
}
