package org.mustardlatch.core.manifest;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.Finding;
import org.mustardlatch.core.error.ParseResult;
import org.mustardlatch.core.model.UpstreamId;

/**
 * Guards against an invalid manifest that yields a partial result, and against a parser that stops
 * at the first fault and so needs one run for each.
 */
class ManifestParserTest {
  private static String example() throws IOException {
    return Files.readString(Path.of("..", "examples", "manifest.toml"));
  }

  private static List<String> findings(String text) {
    return ManifestParser.parse("m.toml", text).findings().stream()
        .map(f -> f.location().line() + ":" + f.location().column() + " " + f.code())
        .toList();
  }

  @Test
  void exampleManifestIsParsedCompletely() throws IOException {
    Manifest m = ManifestParser.parse("m.toml", example()).orThrow(ErrorCode.MANIFEST_INVALID);
    assertThat(m.objective()).isEqualTo(Objective.WASTE_AVERSE);
    assertThat(m.upstreams()).hasSize(4);
    assertThat(m.upstream(new UpstreamId("prefill-1")).orElseThrow().prefillTokensPerSecond())
        .isEqualTo(8000);
    assertThat(m.routes().get(0).idempotent()).isFalse();
  }

  @Test
  void allFaultsAreReportedTogetherWithTheirLocations() {
    String text =
        """
        [manifest]
        name = "x"
        objective = "fast"
        [[region]]
        name = "north"
        zones = ["a", "a"]
        colour = "red"
        [[upstream]]
        name = "e1"
        kind = "engine"
        role = "decode"
        model = "none"
        zone = "b"
        url = "ftp://host"
        slots = 0
        """;
    assertThat(findings(text))
        .containsExactly(
            "3:1 invalid_value",
            "6:1 duplicate_name",
            "7:1 unknown_key",
            "12:1 unknown_reference",
            "13:1 unknown_reference",
            "14:1 invalid_value",
            "15:1 out_of_range")
        .inOrder();
  }

  @Test
  void syntaxErrorIsReportedWithItsLocation() {
    List<String> found = findings("[manifest]\nname = \n");
    assertThat(found).containsExactly("2:8 toml_syntax");
  }

  @Test
  void deepNestingAndHugeNumbersAreFindings() {
    for (String value :
        List.of(
            "[".repeat(100_000) + "]".repeat(100_000),
            "{a=".repeat(100_000) + "1" + "}".repeat(100_000),
            "9".repeat(2_000),
            "1e400",
            "4294967297")) {
      assertThat(findings("[[upstream]]\nname = \"e1\"\nslots = " + value + "\n")).isNotEmpty();
    }
  }

  @Test
  void modelThatNoRegionCanServeIsRejected() throws IOException {
    String text = example().replace("role = \"prefill\"", "role = \"decode\"");
    assertThat(findings(text.replace("prefill_tokens_per_second = 8000\n", "")))
        .containsExactly("27:1 model_without_engines");
  }

  @Test
  void routeIsNotIdempotentByDefault() throws IOException {
    String text = example().replace("idempotent = true\n", "");
    Manifest m = ManifestParser.parse("m.toml", text).orThrow(ErrorCode.MANIFEST_INVALID);
    assertThat(m.routes().get(1).idempotent()).isFalse();
  }

  @Test
  void findingTextContainsLocationCodeAndRemedy() {
    ParseResult<Manifest> result = ManifestParser.parse("m.toml", "[manifest]\nname = 3\n");
    Finding first = result.findings().get(0);
    assertThat(first.toString())
        .isEqualTo("m.toml:1:1: missing_key: the manifest has no region (add a [[region]])");
    assertThat(result.findings().get(1).toString())
        .isEqualTo("m.toml:2:1: wrong_type: name must be a string (correct the value)");
  }

  @Test
  void diffListsAddedRemovedAndChangedEntries() throws IOException {
    Manifest before = ManifestParser.parse("m", example()).orThrow(ErrorCode.MANIFEST_INVALID);
    String text =
        example().replace("name = \"decode-2\"", "name = \"decode-3\"").replace("500", "600");
    Manifest after = ManifestParser.parse("m", text).orThrow(ErrorCode.MANIFEST_INVALID);
    List<String> changes =
        ManifestDiff.compare(before, after).changes().stream()
            .map(c -> c.kind() + " " + c.entry())
            .toList();
    assertThat(changes)
        .containsExactly(
            "CHANGED link",
            "CHANGED workspace tinta",
            "ADDED upstream decode-3",
            "REMOVED upstream decode-2");
  }
}
