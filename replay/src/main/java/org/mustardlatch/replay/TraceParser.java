package org.mustardlatch.replay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardlatch.core.error.Finding;
import org.mustardlatch.core.error.ParseResult;
import org.mustardlatch.core.error.SourceLocation;

/** Reads traces in the format of {@code docs/TRACES.md}. */
public final class TraceParser {
  private static final JsonFactory JSON =
      JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

  private final String file;
  private final List<Finding> findings = new ArrayList<>();
  private final List<TraceLine> lines = new ArrayList<>();

  private TraceParser(String file) {
    this.file = file;
  }

  /**
   * Parses a trace.
   *
   * @param file name for findings
   * @param text one JSON object a line; empty lines are skipped
   * @return the lines in file order, or all findings
   */
  public static ParseResult<List<TraceLine>> parse(String file, String text) {
    TraceParser parser = new TraceParser(file);
    int number = 0;
    for (String line : text.split("\n", -1)) {
      number++;
      if (!line.isBlank()) {
        parser.parseLine(number, line);
      }
    }
    return parser.findings.isEmpty()
        ? ParseResult.valid(List.copyOf(parser.lines))
        : ParseResult.invalid(parser.findings);
  }

  private void parseLine(int number, String line) {
    try (JsonParser json = JSON.createParser(line)) {
      Map<String, TraceFields.Value> values = new LinkedHashMap<>();
      if (json.nextToken() != JsonToken.START_OBJECT) {
        malformed(number, 1, "a trace line must be a JSON object");
        return;
      }
      while (json.nextToken() == JsonToken.FIELD_NAME) {
        String name = json.currentName();
        int column = json.currentTokenLocation().getColumnNr();
        json.nextToken();
        if (json.currentToken().isStructStart()) {
          malformed(number, column, "field \"" + name + "\" must not be an object or array");
          return;
        }
        values.put(name, new TraceFields.Value(json.currentToken(), json.getText(), column));
      }
      if (json.nextToken() != null) {
        malformed(number, json.currentTokenLocation().getColumnNr(), "text after the object");
        return;
      }
      TraceFields fields = new TraceFields(file, number, values);
      TraceLine parsed = fields.toLine();
      findings.addAll(fields.findings());
      if (parsed != null && fields.findings().isEmpty()) {
        lines.add(parsed);
      }
    } catch (JsonParseException e) {
      malformed(number, e.getLocation().getColumnNr(), e.getOriginalMessage());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void malformed(int line, int column, String message) {
    findings.add(
        new Finding(
            "malformed_line",
            new SourceLocation(file, line, column),
            message,
            "write one JSON object with simple values on the line"));
  }
}
