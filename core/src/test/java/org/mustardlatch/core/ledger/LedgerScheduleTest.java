package org.mustardlatch.core.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against second runs, false "not run" answers and lost requests under seeded schedules of
 * crashes, pauses, lost answers, late writes, outages and disagreeing owners. docs/PROOFS-ledger.md
 * tells how to run one seed or more seeds.
 */
class LedgerScheduleTest {
  private static final int SEEDS = 600;

  @Test
  void everyKeyRunsAtMostOnceAndEveryResponseIsCorrect() {
    long first = Long.getLong("ledger.seed", 0);
    long count = Long.getLong("ledger.seeds", Long.getLong("ledger.seed") == null ? SEEDS : 1);
    Set<Class<?>> replyKinds = new HashSet<>();
    for (long seed = first; seed < first + count; seed++) {
      new LedgerSimulation(seed, replyKinds).run();
    }
    if (count >= SEEDS) { // else the schedules would prove nothing about the missing replies
      assertThat(replyKinds)
          .containsExactly(
              KeyedResponse.Ran.class,
              KeyedResponse.Recorded.class,
              KeyedResponse.NotRun.class,
              KeyedResponse.InProgress.class,
              KeyedResponse.OutcomeUnknown.class);
    }
  }
}
