package org.mustardlatch.core.balancing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a fleet that repeats more than its bound because it has grown. */
class RepeatBudgetTest {
  @Test
  void losesWhatItSavedBeyondANewLimit() {
    RepeatBudget budget = new RepeatBudget(4, 6);

    budget.limit(1);

    assertThat(budget.take()).isTrue();
    assertThat(budget.take()).isFalse();
  }

  @Test
  void earnsAFractionOfAUnitForEachRequest() {
    RepeatBudget budget = new RepeatBudget(0, 6);
    for (int i = 0; i < 10; i++) {
      assertThat(budget.take()).isFalse();
      budget.earn(0.1001);
    }
    assertThat(budget.take()).isTrue();
  }
}
