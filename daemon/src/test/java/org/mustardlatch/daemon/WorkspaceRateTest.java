package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.mustardlatch.standin.EngineOptions;

/**
 * Guards against a rate that is checked nowhere. How nodes share it when demand moves and owners
 * vanish is in BudgetFleetTest of the core module.
 */
class WorkspaceRateTest {
  private static final double RATE = 4;

  /**
   * Design 4.11: the error is at most one lease time of units, and a new owner saves up one more.
   */
  private static final double ERROR_SECONDS = 2;

  @Test
  void aWorkspaceIsLimitedToItsRateAndRefusalsCarryRetryAfter() {
    try (InProcessFleet fleet =
        new InProcessFleet(
            EngineOptions.fast("prefill-1", "prefill"), EngineOptions.fast("d-1", "decode"))) {
      fleet.publishWithRateLimit(RATE);
      long start = System.nanoTime();
      int granted = 0;
      int limited = 0;
      for (int i = 0; i < 40; i++) {
        TestHttpClient.Response answer =
            InProcessFleet.complete(fleet.daemon().callerPort(), "names " + i, 1, false);
        if (answer.status() == 200) {
          granted++;
        } else {
          assertThat(answer.errorCode()).isEqualTo("rate_limited");
          assertThat(answer.header("retry-after")).isNotEmpty();
          limited++;
        }
      }
      double seconds = (System.nanoTime() - start) / 1e9;
      assertThat((double) granted).isAtMost(RATE * (seconds + ERROR_SECONDS));
      assertThat(granted).isGreaterThan(0);
      assertThat(limited).isGreaterThan(0);
    }
  }
}
