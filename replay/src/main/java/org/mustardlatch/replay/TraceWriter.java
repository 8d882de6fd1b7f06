package org.mustardlatch.replay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;

/** Writes traces in the format of {@code docs/TRACES.md}. */
public final class TraceWriter {
  private static final JsonFactory JSON = new JsonFactory();

  private TraceWriter() {}

  /** Returns the lines as JSON, each with a line end. */
  public static String write(List<TraceLine> lines) {
    StringBuilder text = new StringBuilder();
    lines.forEach(line -> text.append(write(line)).append('\n'));
    return text.toString();
  }

  /** Returns one line as a JSON object without a line end. */
  public static String write(TraceLine line) {
    StringWriter out = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(out)) {
      json.writeStartObject();
      switch (line) {
        case TraceLine.Arrival a -> arrival(json, a);
        case TraceLine.Fault f -> fault(json, f);
        case TraceLine.Crest c -> {
          json.writeStringField("type", "crest");
          json.writeNumberField("at_ms", c.atMs());
          json.writeNumberField("duration_ms", c.durationMs());
        }
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toString();
  }

  private static void arrival(JsonGenerator json, TraceLine.Arrival a) throws IOException {
    json.writeStringField("type", "arrival");
    json.writeNumberField("at_ms", a.atMs());
    json.writeStringField("region", a.region().value());
    json.writeStringField("zone", a.zone().value());
    json.writeStringField("workspace", a.workspace().value());
    json.writeStringField("model", a.model().value());
    json.writeNumberField("prompt_tokens", a.promptTokens());
    if (a.prefixTokens() > 0) {
      json.writeStringField("prefix", a.prefix());
      json.writeNumberField("prefix_tokens", a.prefixTokens());
    }
    json.writeNumberField("output_tokens", a.outputTokens());
    json.writeNumberField("first_token_ms", a.firstTokenMs());
    json.writeNumberField("final_ms", a.finalMs());
    json.writeBooleanField("idempotent", a.idempotent());
    if (a.cancelMs().isPresent()) {
      json.writeNumberField("cancel_ms", a.cancelMs().getAsLong());
    }
    if (a.retries() > 0) {
      json.writeNumberField("retries", a.retries());
    }
  }

  private static void fault(JsonGenerator json, TraceLine.Fault f) throws IOException {
    json.writeStringField("type", "fault");
    json.writeNumberField("at_ms", f.atMs());
    json.writeStringField("kind", f.kind().wireName());
    if (f.kind() != FaultKind.REGION_SPLIT) {
      json.writeStringField("target", f.target());
    }
    if (f.kind() == FaultKind.STRAGGLER || f.kind() == FaultKind.LINK_SLOWDOWN) {
      json.writeNumberField("factor", f.factor());
    }
    json.writeNumberField("duration_ms", f.durationMs());
  }
}
