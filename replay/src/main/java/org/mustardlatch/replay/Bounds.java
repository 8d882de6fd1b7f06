package org.mustardlatch.replay;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Compares a policy with the baseline {@code two-choice} by the bounds of design 1.5. Ratios are
 * formed seed by seed; a bound counts as met when the median ratio meets it.
 */
final class Bounds {
  static final double CREST_GOODPUT = 1.5;
  static final double GOODPUT = 1;
  static final double WASTE = 0.2;
  static final double STRAGGLER_TAIL = 1.3;
  static final double TRIPLE_GOODPUT = 0.9;

  /** Name of the baseline. */
  static final String BASELINE = "two-choice";

  private final Map<TraceKind, Map<String, List<ReplayReport>>> results;
  private final String policy;

  Bounds(Map<TraceKind, Map<String, List<ReplayReport>>> results, String policy) {
    this.results = results;
    this.policy = policy;
  }

  /** Returns a Markdown table of all bounds whose traces were run. */
  String table() {
    StringBuilder t = new StringBuilder("| bound | measured | limit | |\n|---|---|---|---|\n");
    if (has(TraceKind.SWING)) {
      Spread crest = ratio(TraceKind.SWING, ReplayReport::crestGoodput);
      line(t, "crest goodput, swing", crest, CREST_GOODPUT, true);
    }
    results
        .keySet()
        .forEach(
            k -> {
              line(t, "goodput, " + k.wireName(), ratio(k, ReplayReport::goodput), GOODPUT, true);
              Spread waste = ratio(k, ReplayReport::wasteShare);
              line(t, "wasted prefill, " + k.wireName(), waste, WASTE, false);
            });
    if (has(TraceKind.STRAGGLERS) && has(TraceKind.NO_STRAGGLERS)) {
      Spread tail =
          ratio(
              runs(TraceKind.STRAGGLERS, policy),
              runs(TraceKind.NO_STRAGGLERS, policy),
              ReplayReport::firstTokenP99Ms);
      line(t, "first token p99, stragglers to none", tail, STRAGGLER_TAIL, false);
    }
    if (has(TraceKind.TRIPLE) && has(TraceKind.CAPACITY)) {
      Spread triple =
          ratio(
              runs(TraceKind.TRIPLE, policy),
              runs(TraceKind.CAPACITY, policy),
              ReplayReport::goodput);
      line(t, "goodput, triple to capacity", triple, TRIPLE_GOODPUT, true);
    }
    return t.toString();
  }

  private boolean has(TraceKind kind) {
    return results.containsKey(kind);
  }

  private List<ReplayReport> runs(TraceKind kind, String name) {
    return results.getOrDefault(kind, Map.of()).getOrDefault(name, List.of());
  }

  private Spread ratio(TraceKind kind, ToDoubleFunction<ReplayReport> measure) {
    return ratio(runs(kind, policy), runs(kind, BASELINE), measure);
  }

  private static Spread ratio(
      List<ReplayReport> own, List<ReplayReport> other, ToDoubleFunction<ReplayReport> measure) {
    return Spread.of(
        IntStream.range(0, own.size())
            .mapToDouble(
                i -> measure.applyAsDouble(own.get(i)) / measure.applyAsDouble(other.get(i)))
            .toArray());
  }

  private static void line(
      StringBuilder table, String name, Spread ratio, double limit, boolean atLeast) {
    boolean met = atLeast ? ratio.median() >= limit : ratio.median() <= limit;
    table.append(
        String.format(
            Locale.ROOT,
            "| %s | %s | %s %.1f | %s |%n",
            name,
            ratio.text(2),
            atLeast ? "at least" : "at most",
            limit,
            met ? "met" : "**missed**"));
  }
}
