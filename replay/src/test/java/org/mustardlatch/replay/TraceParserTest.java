package org.mustardlatch.replay;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.Finding;

class TraceParserTest {
  private static final String CREST = "{\"type\":\"crest\",\"at_ms\":1,\"duration_ms\":2}";

  /** Guards against fields that one of writer and parser forgets. */
  @Test
  void generatedTracesSurviveWritingAndParsing() {
    for (TraceKind kind : TraceKind.values()) {
      List<TraceLine> trace = TraceGenerator.generate(User.VEVSTUA, kind, 7);
      assertThat(TraceParser.parse("t", TraceWriter.write(trace)).orThrow(ErrorCode.INTERNAL))
          .isEqualTo(trace);
    }
  }

  @Test
  void allFindingsAreReportedTogetherWithTheirPlaces() {
    String text =
        String.join(
            "\n",
            CREST.replace("2}", "2,\"depth\":3}"),
            "",
            "{\"type\":\"fault\",\"at_ms\":1,\"kind\":\"rain\",\"target\":\"a\",\"duration_ms\":0}",
            "{\"type\":\"crest\",\"at_ms\":\"1\"}",
            "{\"type\":\"crest\"",
            "{\"type\":\"tide\",\"at_ms\":1}",
            "[]",
            "{\"type\":\"crest\",\"at_ms\":{}}",
            CREST + CREST);
    List<Finding> findings = TraceParser.parse("t", text).findings();
    assertThat(findings.stream().map(f -> f.location() + " " + f.code()).toList())
        .containsExactly(
            "t:1:43 unknown_field",
            "t:3:27 invalid_value",
            "t:3:54 invalid_value",
            "t:4:1 missing_field",
            "t:4:17 wrong_type",
            "t:5:16 malformed_line",
            "t:6:2 unknown_type",
            "t:7:1 malformed_line",
            "t:8:17 malformed_line",
            "t:9:43 malformed_line");
  }

  @Test
  void valuesThatContradictEachOtherAreFindings() {
    TraceLine arrival = TraceGenerator.generate(User.TINTA, TraceKind.PREFIXES, 1).get(0);
    String line = TraceWriter.write(arrival);
    String early = line.replaceAll("\"final_ms\":\\d+", "\"final_ms\":1");
    String longer = line.replaceAll("\"prefix_tokens\":\\d+", "\"prefix_tokens\":90000");
    for (String bad : List.of(early, longer)) {
      assertThat(TraceParser.parse("t", bad).findings().get(0).code()).isEqualTo("invalid_value");
    }
  }
}
