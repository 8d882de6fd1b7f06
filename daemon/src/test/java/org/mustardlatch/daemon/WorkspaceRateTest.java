package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.mustardlatch.standin.EngineOptions;

/**
 * Guards against a workspace rate that is not enforced on the request path. How nodes share a rate
 * when demand shifts or budget owners fail is tested by BudgetFleetTest in the core module.
 */
class WorkspaceRateTest {
  private static final double RATE = 4;

  /**
   * Permitted excess, in seconds of requests at the full rate (design, section 4.11): at most one
   * lease time of units, and one more that a new budget owner accumulates.
   */
  private static final double PERMITTED_EXCESS_SECONDS = 2;

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
        TestHttpClient.Response response =
            InProcessFleet.complete(fleet.daemon().callerPort(), "names " + i, 1, false);
        if (response.status() == 200) {
          granted++;
        } else {
          assertThat(response.errorCode()).isEqualTo("rate_limited");
          assertThat(response.header("retry-after")).isNotEmpty();
          limited++;
        }
      }
      double seconds = (System.nanoTime() - start) / 1e9;
      assertThat((double) granted).isAtMost(RATE * (seconds + PERMITTED_EXCESS_SECONDS));
      assertThat(granted).isGreaterThan(0);
      assertThat(limited).isGreaterThan(0);
    }
  }
}
