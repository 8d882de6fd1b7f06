package org.mustardlatch.replay;

import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Writes a comparison as Markdown: median over the seeds, and the range in brackets. */
final class ComparisonTable {
  private static final String HEAD =
      "| trace | policy | goodput/s | good % | crest/s | waste % | TTFT p99 ms | gap p99 ms"
          + " | cross MB | refused | missing | decision p99 us |\n"
          + "|---|---|---|---|---|---|---|---|---|---|---|---|\n";

  private ComparisonTable() {}

  static String of(Map<TraceKind, Map<String, List<ReplayReport>>> results) {
    StringBuilder table = new StringBuilder(HEAD);
    results.forEach(
        (kind, row) -> row.forEach((policy, runs) -> table.append(line(kind, policy, runs))));
    return table.toString();
  }

  private static String line(TraceKind kind, String policy, List<ReplayReport> runs) {
    return String.join(
        " | ",
        "| " + kind.wireName(),
        policy,
        text(runs, 1, ReplayReport::goodput),
        text(runs, 0, r -> 100 * r.goodShare()),
        text(runs, 1, ReplayReport::crestGoodput),
        text(runs, 1, r -> 100 * r.wasteShare()),
        text(runs, 0, ReplayReport::firstTokenP99Ms),
        text(runs, 0, ReplayReport::longestGapP99Ms),
        text(runs, 1, r -> r.crossRegionBytes() / 1e6),
        text(runs, 0, ComparisonTable::refused),
        text(runs, 0, ReplayReport::missing),
        text(runs, 0, r -> r.timing().decisionP99Micros()) + " |\n");
  }

  private static double refused(ReplayReport r) {
    return r.refusals().values().stream().mapToInt(Integer::intValue).sum();
  }

  private static String text(
      List<ReplayReport> runs, int decimals, ToDoubleFunction<ReplayReport> measure) {
    return Spread.of(runs.stream().mapToDouble(measure).toArray()).text(decimals);
  }
}
