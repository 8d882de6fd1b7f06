package org.mustardlatch.replay;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.mustardlatch.core.manifest.Objective;

/** Runs trace kinds for policies over several seeds. */
final class Comparison {
  private final User user;
  private final Objective objective;
  private final int seeds;
  private final Consumer<String> progress;
  private final Map<TraceKind, Map<String, List<ReplayReport>>> results =
      new EnumMap<>(TraceKind.class);

  /**
   * Creates a comparison.
   *
   * @param seeds number of seeds, 1 to N are used
   * @param progress receives a line before each group of runs
   */
  Comparison(User user, Objective objective, int seeds, Consumer<String> progress) {
    this.user = user;
    this.objective = objective;
    this.seeds = seeds;
    this.progress = progress;
  }

  /** Runs every kind with every policy. */
  void run(List<TraceKind> kinds, List<String> policies) {
    int done = 0;
    int all = kinds.size() * policies.size();
    for (TraceKind kind : kinds) {
      Map<String, List<ReplayReport>> row = new LinkedHashMap<>();
      results.put(kind, row);
      for (String policy : policies) {
        done++;
        progress.accept(
            String.format(Locale.ROOT, "%d/%d %s %s", done, all, kind.wireName(), policy));
        row.put(policy, runs(kind, policy));
      }
    }
  }

  /** Returns the reports by kind and policy, one for each seed in order. */
  Map<TraceKind, Map<String, List<ReplayReport>>> results() {
    return results;
  }

  private List<ReplayReport> runs(TraceKind kind, String policy) {
    List<ReplayReport> runs = new ArrayList<>();
    Deployment deployment = user.deployment(objective);
    for (int seed = 1; seed <= seeds; seed++) {
      List<TraceLine> trace = TraceGenerator.generate(user, kind, seed);
      runs.add(ReplayDriver.run(deployment, Policies.named(policy), trace, seed));
    }
    return runs;
  }
}
