package org.mustardlatch.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.errorprone.annotations.FormatMethod;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Writes a report as a table and as JSON. */
public final class ReportWriter {
  private static final ObjectMapper JSON =
      JsonMapper.builder()
          .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
          .enable(SerializationFeature.INDENT_OUTPUT)
          .build();

  private ReportWriter() {}

  /** Returns the report as JSON with a line end. */
  public static String json(ReplayReport report) {
    try {
      return JSON.writeValueAsString(report) + "\n";
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a report could not be written", e);
    }
  }

  /** Returns the report as a table, one measure a line. */
  public static String table(String policy, ReplayReport r) {
    StringBuilder t = new StringBuilder();
    row(t, "policy", policy);
    row(t, "calls, requests", r.calls() + ", " + r.tries());
    row(t, "goodput", format("%.2f/s, %.1f%% of calls", r.goodput(), 100 * r.goodShare()));
    row(t, "goodput in the crest window", format("%.2f/s", r.crestGoodput()));
    row(t, "wasted prefill", format("%.2f%% %s", 100 * r.wasteShare(), counts(r.wasteByCause())));
    row(t, "first token, 99th percentile", format("%.0f ms", r.firstTokenP99Ms()));
    row(t, "longest token gap, 99th percentile", format("%.0f ms", r.longestGapP99Ms()));
    row(t, "cross-region bytes", format("%d", r.crossRegionBytes()));
    row(t, "endings", counts(r.endings()));
    row(t, "refusals", counts(r.refusals()));
    row(t, "final answers missing or doubled", format("%d", r.missing()));
    row(
        t,
        "processor time",
        format(
            "%.1f us a request, decision %.1f us median, %.1f us 99th percentile, upkeep %.1f us",
            r.timing().decisionMicros(),
            r.timing().decisionP50Micros(),
            r.timing().decisionP99Micros(),
            r.timing().upkeepMicros()));
    return t.toString();
  }

  private static void row(StringBuilder table, String name, String value) {
    table.append(format("%-36s %s%n", name, value));
  }

  private static String counts(Map<String, ? extends Number> counts) {
    return counts.entrySet().stream()
        .map(e -> e.getKey() + "=" + e.getValue())
        .collect(Collectors.joining(" ", "[", "]"));
  }

  @FormatMethod
  private static String format(String pattern, Object... values) {
    return String.format(Locale.ROOT, pattern, values);
  }
}
