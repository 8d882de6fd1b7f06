package org.mustardlatch.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.routing.CellLoad.Result;
import org.mustardlatch.core.routing.CellLoad.Source;

/** Plays load above the capacity of one cell and checks who is served. */
class CellOverloadTest {

  private static final double CAPACITY = CellLoad.REQUESTS_PER_SECOND_AT_CAPACITY;
  private static final long SEED = 1;
  private static final int SEEDS = 5;

  private static List<Source> threeRanks(double load) {
    return List.of(
        Source.of("urgent", 0, 0.4 * load),
        Source.of("normal", 5, 1.0 * load),
        Source.of("background", 8, 0.6 * load));
  }

  private static Result of(Map<String, Result> results, String name) {
    return Objects.requireNonNull(results.get(name), name);
  }

  /** Guards against urgent requests that wait behind others, and against starved lower ranks. */
  @Test
  void urgentRequestsAreOnTimeAndLowerRanksKeepAQuarterOfTheSharedRate() {
    Map<String, Result> results = new CellLoad(SEED, true).play(threeRanks(CAPACITY));

    Result urgent = of(results, "urgent");
    Result normal = of(results, "normal");
    Result background = of(results, "background");
    int sent = results.values().stream().mapToInt(r -> r.sent).sum();
    double f = (double) CellLoad.served(results) / sent;
    assertWithMessage("%s", results).that(urgent.onTimeShare()).isAtLeast(0.95);
    assertWithMessage("%s", results).that(normal.servedShare()).isAtLeast(f / 4);
    assertWithMessage("%s", results).that(background.servedShare()).isAtLeast(f / 4);
    assertWithMessage("%s", results).that(urgent.servedShare()).isAtLeast(normal.servedShare());
    assertWithMessage("%s", results).that(normal.servedShare()).isAtLeast(background.servedShare());
  }

  /** Guards against a workspace with a peak that takes the capacity of the others. */
  @Test
  void workspacesBelowTheirFairShareAreServedAsOftenAsAlone() {
    List<Source> others = new ArrayList<>();
    for (int i = 0; i < 15; i++) {
      others.add(Source.of("w" + i, 5, CAPACITY / 32));
    }
    Map<String, Result> alone = new CellLoad(SEED, true).play(others);
    List<Source> all = new ArrayList<>(others);
    all.add(Source.of("flood", 5, 1.5 * CAPACITY).startingAt(CellLoad.WARM_UP_NANOS));
    Map<String, Result> together = new CellLoad(SEED, true).play(all);

    for (Source s : others) {
      assertWithMessage("%s, alone %s", together, alone)
          .that(of(together, s.name()).servedShare())
          .isAtLeast(of(alone, s.name()).servedShare() - 0.05);
    }
  }

  /** Guards against waiting that costs capacity: earlier deployments refuse late requests. */
  @Test
  void atLeastAsManyAreServedAndOnTimeAsWhenLateRequestsAreRefused() {
    List<Source> sources = List.of(Source.of("all", 5, 2 * CAPACITY));
    int served = 0;
    int onTime = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Map<String, Result> waiting = new CellLoad(seed, true).play(sources);
      Map<String, Result> firstCome = new CellLoad(seed, false).play(sources);
      served += CellLoad.served(waiting) - CellLoad.served(firstCome);
      onTime += CellLoad.onTime(waiting) - CellLoad.onTime(firstCome);
    }

    assertThat(served).isAtLeast(0);
    assertThat(onTime).isAtLeast(0);
  }

  /** Guards against late requests that take capacity from requests that can be on time. */
  @Test
  void lateRequestsDisplaceNoneThatAreOnTime() {
    Source late = Source.of("late", 0, CAPACITY).withAge(CellLoad.TARGET_NANOS * 5 / 4);
    for (double load : new double[] {1, 2}) {
      Source punctual = Source.of("punctual", 5, load * CAPACITY);
      Map<String, Result> alone = new CellLoad(SEED, true).play(List.of(punctual));
      Map<String, Result> both = new CellLoad(SEED, true).play(List.of(punctual, late));

      assertWithMessage("%s, alone %s", both, alone)
          .that(of(both, "punctual").onTimeShare())
          .isAtLeast(of(alone, "punctual").onTimeShare() - 0.01);
    }
  }

  /** Guards against small requests that take each piece of memory a large one waits for. */
  @Test
  void largeRequestsAreServedNearlyAsOftenAsOthers() {
    List<Source> sources =
        List.of(
            Source.of("mean", 5, 1.4 * CAPACITY).inWorkspace("all"),
            Source.of("three", 5, 0.1 * CAPACITY)
                .inWorkspace("all")
                .withPrompt(3 * CellLoad.MEAN_PROMPT_TOKENS),
            Source.of("ten", 5, 0.03 * CAPACITY)
                .inWorkspace("all")
                .withPrompt(10 * CellLoad.MEAN_PROMPT_TOKENS));
    Map<String, Result> results = new CellLoad(SEED, true).play(sources);

    double mean = of(results, "mean").servedShare();
    assertWithMessage("%s", results)
        .that(of(results, "three").servedShare())
        .isAtLeast(0.75 * mean);
    assertWithMessage("%s", results).that(of(results, "ten").servedShare()).isAtLeast(0.75 * mean);
  }

  /** Guards against a request that waits although no engine can ever run it. */
  @Test
  void requestLargerThanEveryEngineIsRefusedAtOnce() {
    Source tooLarge = Source.of("too-large", 0, 1).withPrompt(CellLoad.MEMORY_TOKENS + 1);
    Result r = of(new CellLoad(SEED, true).play(List.of(tooLarge)), "too-large");

    assertThat(r.sent).isGreaterThan(0);
    assertThat(r.refused).isEqualTo(r.sent);
  }
}
