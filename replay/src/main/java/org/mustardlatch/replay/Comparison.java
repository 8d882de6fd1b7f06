package org.mustardlatch.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.mustardlatch.core.manifest.Objective;

/** Runs trace kinds for policies over several seeds and tabulates median and spread. */
final class Comparison {
  private static final String HEAD =
      "| trace | policy | goodput/s | good % | crest/s | waste % | TTFT p99 ms | gap p99 ms"
          + " | cross MB | refused | missing | us/req |\n"
          + "|---|---|---|---|---|---|---|---|---|---|---|---|\n";

  private final User user;
  private final Objective objective;
  private final int seeds;
  private final Consumer<String> progress;

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

  /** Returns the table as Markdown: median, and least to greatest in brackets. */
  String table(List<TraceKind> kinds, List<String> policies) {
    StringBuilder table = new StringBuilder(HEAD);
    int done = 0;
    for (TraceKind kind : kinds) {
      for (String policy : policies) {
        done++;
        progress.accept(
            String.format(
                Locale.ROOT,
                "%d/%d %s %s",
                done,
                kinds.size() * policies.size(),
                kind.wireName(),
                policy));
        table.append(row(kind, policy, runs(kind, policy)));
      }
    }
    return table.toString();
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

  private static String row(TraceKind kind, String policy, List<ReplayReport> runs) {
    return String.join(
        " | ",
        "| " + kind.wireName(),
        policy,
        spread(runs, "%.1f", ReplayReport::goodput),
        spread(runs, "%.0f", r -> 100 * r.goodShare()),
        spread(runs, "%.1f", ReplayReport::crestGoodput),
        spread(runs, "%.1f", r -> 100 * r.wasteShare()),
        spread(runs, "%.0f", ReplayReport::firstTokenP99Ms),
        spread(runs, "%.0f", ReplayReport::longestGapP99Ms),
        spread(runs, "%.1f", r -> r.crossRegionBytes() / 1e6),
        spread(runs, "%.0f", Comparison::refused),
        spread(runs, "%.0f", ReplayReport::missing),
        spread(runs, "%.0f", r -> r.timing().microsPerTry()) + " |\n");
  }

  private static double refused(ReplayReport r) {
    return r.refusals().values().stream().mapToInt(Integer::intValue).sum();
  }

  private static String spread(
      List<ReplayReport> runs, String pattern, ToDoubleFunction<ReplayReport> measure) {
    double[] sorted = runs.stream().mapToDouble(measure).sorted().toArray();
    String least = String.format(Locale.ROOT, pattern, sorted[0]);
    String median = String.format(Locale.ROOT, pattern, sorted[sorted.length / 2]);
    String most = String.format(Locale.ROOT, pattern, sorted[sorted.length - 1]);
    return least.equals(most) ? median : median + " (" + least + "–" + most + ")";
  }
}
