package org.mustardlatch.replay;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReplayCommandTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... args) {
    return ReplayCommand.run(
        args,
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  @Test
  void generatedTracesCanBeReplayed(@TempDir Path dir) {
    String trace = dir.resolve("t.jsonl").toString();
    String json = dir.resolve("t.json").toString();
    assertThat(run("generate", "steady", "--user", "vevstua", "--out", trace)).isEqualTo(0);
    assertThat(run("replay", trace, "--manifest", "vevstua", "--json", json)).isEqualTo(0);
    assertThat(out.toString(StandardCharsets.UTF_8)).contains("goodput");
    assertThat(Files.exists(Path.of(json))).isTrue();
  }

  @Test
  void faultyTracesAreReportedWithPlaces(@TempDir Path dir) throws IOException {
    Path trace = dir.resolve("t.jsonl");
    Files.writeString(trace, "{}\n");
    assertThat(run("replay", trace.toString(), "--manifest", "tinta")).isEqualTo(1);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains(":1:1: missing_field");
  }

  @Test
  void wrongUsageIsAnError() {
    assertThat(run("replay", "--depth", "3")).isEqualTo(2);
    assertThat(run("dance")).isEqualTo(1);
    assertThat(run("generate", "storm", "--out", "x")).isEqualTo(1);
  }
}
