package org.mustardlatch.replay;

import com.fasterxml.jackson.core.JsonToken;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.Finding;
import org.mustardlatch.core.error.SourceLocation;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.model.ZoneId;

/** The fields of one trace line, and the findings about them. Each field is taken once. */
final class TraceFields {
  private static final int MAX_RETRIES = 2;

  private final String file;
  private final int line;
  private final Map<String, Value> values;
  private final List<Finding> findings = new ArrayList<>();

  TraceFields(String file, int line, Map<String, Value> values) {
    this.file = file;
    this.line = line;
    this.values = new LinkedHashMap<>(values);
  }

  List<Finding> findings() {
    return findings;
  }

  /** Returns the line, or null when it has a finding. */
  @Nullable TraceLine toLine() {
    int typeColumn = values.containsKey("type") ? values.get("type").column() : 1;
    String type = text("type", t -> t, "?");
    TraceLine result =
        switch (type) {
          case "arrival" -> arrival();
          case "fault" -> fault();
          case "crest" -> new TraceLine.Crest(number("at_ms", 0), number("duration_ms", 1));
          default -> null;
        };
    if (result == null) {
      if (findings.isEmpty()) {
        add("unknown_type", typeColumn, "type \"" + type + "\" is not arrival, fault or crest");
      }
      return null;
    }
    values.forEach(
        (name, v) -> add("unknown_field", v.column(), "field \"" + name + "\" is not known"));
    return findings.isEmpty() ? result : null;
  }

  private TraceLine arrival() {
    Optional<Value> prefix = Optional.ofNullable(values.get("prefix"));
    TraceLine.Arrival a =
        new TraceLine.Arrival(
            number("at_ms", 0),
            text("region", RegionId::new, new RegionId("none")),
            text("zone", ZoneId::new, new ZoneId("none")),
            text("workspace", WorkspaceId::new, new WorkspaceId("none")),
            text("model", ModelId::new, new ModelId("none")),
            (int) number("prompt_tokens", 1),
            prefix.isPresent() ? text("prefix", t -> t, "") : "",
            prefix.isPresent() ? (int) number("prefix_tokens", 1) : 0,
            (int) number("output_tokens", 1),
            number("first_token_ms", 1),
            number("final_ms", 1),
            flag("idempotent"),
            values.containsKey("cancel_ms")
                ? OptionalLong.of(number("cancel_ms", 0))
                : OptionalLong.empty(),
            values.containsKey("retries") ? (int) number("retries", 0) : 0);
    check(a.prefixTokens() <= a.promptTokens(), "prefix_tokens is greater than prompt_tokens");
    check(a.finalMs() >= a.firstTokenMs(), "final_ms is less than first_token_ms");
    check(a.retries() <= MAX_RETRIES, "retries is greater than " + MAX_RETRIES);
    return a;
  }

  private TraceLine fault() {
    int before = findings.size();
    FaultKind kind =
        text("kind", t -> FaultKind.of(t).orElseThrow(() -> notKnown(t)), FaultKind.NODE_DEATH);
    if (findings.size() > before) {
      values.remove("factor"); // whether the field belongs here depends on the kind
    }
    boolean scaled = kind == FaultKind.STRAGGLER || kind == FaultKind.LINK_SLOWDOWN;
    String target = kind == FaultKind.REGION_SPLIT ? "cross" : text("target", t -> t, "");
    return new TraceLine.Fault(
        number("at_ms", 0),
        kind,
        target,
        scaled ? decimal("factor", 1) : 1,
        number("duration_ms", 1));
  }

  private static IllegalArgumentException notKnown(String kind) {
    return new IllegalArgumentException("fault kind \"" + kind + "\" is not known");
  }

  private void check(boolean holds, String message) {
    if (!holds && findings.isEmpty()) {
      add("invalid_value", 1, message);
    }
  }

  private <T> T text(String name, Function<String, T> convert, T fallback) {
    Value v = take(name, JsonToken.VALUE_STRING);
    if (v == null) {
      return fallback;
    }
    try {
      return convert.apply(v.text());
    } catch (IllegalArgumentException e) {
      add("invalid_value", v.column(), String.valueOf(e.getMessage()));
      return fallback;
    }
  }

  private long number(String name, long min) {
    Value v = take(name, JsonToken.VALUE_NUMBER_INT);
    return v == null ? min : (long) ranged(name, v, (double) min);
  }

  private double decimal(String name, double min) {
    Value v = take(name, JsonToken.VALUE_NUMBER_FLOAT, JsonToken.VALUE_NUMBER_INT);
    return v == null ? min : ranged(name, v, min);
  }

  private double ranged(String name, Value v, double min) {
    double n = Double.parseDouble(v.text());
    if (n < min || n > Integer.MAX_VALUE) {
      add("invalid_value", v.column(), name + " is out of range: " + v.text());
      return min;
    }
    return n;
  }

  private boolean flag(String name) {
    Value v = take(name, JsonToken.VALUE_TRUE, JsonToken.VALUE_FALSE);
    return v != null && v.token() == JsonToken.VALUE_TRUE;
  }

  private @Nullable Value take(String name, JsonToken... allowed) {
    Value v = values.remove(name);
    if (v == null) {
      add("missing_field", 1, "field \"" + name + "\" is missing");
      return null;
    }
    if (!List.of(allowed).contains(v.token())) {
      add("wrong_type", v.column(), "field \"" + name + "\" has a value of the wrong type");
      return null;
    }
    return v;
  }

  private void add(String code, int column, String message) {
    findings.add(
        new Finding(code, new SourceLocation(file, line, column), message, "see docs/TRACES.md"));
  }

  /** A value with the column of its field name, 1 for the first. */
  record Value(JsonToken token, String text, int column) {}
}
