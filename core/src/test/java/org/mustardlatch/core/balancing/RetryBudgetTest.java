package org.mustardlatch.core.balancing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a fleet that exceeds its bound of retries because nodes were added. */
class RetryBudgetTest {
  @Test
  void discardsUnitsAboveANewCapacity() {
    RetryBudget budget = new RetryBudget(4, 6);

    budget.setCapacity(1);

    assertThat(budget.tryAcquire()).isTrue();
    assertThat(budget.tryAcquire()).isFalse();
  }

  @Test
  void depositsAFractionOfAUnitForEachRequest() {
    RetryBudget budget = new RetryBudget(0, 6);
    for (int i = 0; i < 10; i++) {
      assertThat(budget.tryAcquire()).isFalse();
      budget.deposit(0.1001);
    }
    assertThat(budget.tryAcquire()).isTrue();
  }
}
