package org.mustardlatch.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import mockwebserver3.RecordedRequest;
import mockwebserver3.SocketEffect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against error messages without a location or a remedy, and against changed exit codes, on
 * which scripts depend.
 */
class MainTest {
  private static final String MANIFEST = Path.of("..", "examples", "manifest.toml").toString();

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... args) {
    return Main.run(
        args,
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  private String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String err() {
    return err.toString(StandardCharsets.UTF_8);
  }

  @Test
  void helpListsEveryCommandAndExitsWithZero() {
    assertThat(run("--help")).isEqualTo(0);
    for (CommandHelp commandHelp : CommandHelp.values()) {
      assertThat(out()).contains(commandHelp.synopsis());
    }
    assertThat(err()).isEmpty();
  }

  @Test
  void unknownCommandIsAUsageError() {
    assertThat(run("frobnicate")).isEqualTo(2);
    assertThat(err()).contains("error usage at command line");
    assertThat(err()).contains("remedy: ");
  }

  @Test
  void validManifestPassesCheck() {
    assertThat(run("manifest", "check", MANIFEST)).isEqualTo(0);
    assertThat(out()).contains("valid, 4 upstreams");
  }

  @Test
  void everyFindingIsPrintedWithItsLocation(@TempDir Path dir) throws IOException {
    Path file = Files.writeString(dir.resolve("m.toml"), "[manifest]\nnam = \"x\"\n");
    assertThat(run("manifest", "check", file.toString())).isEqualTo(1);
    assertThat(err()).contains("error unknown_key at " + file + ":2:1");
    assertThat(err()).contains("error missing_key at " + file + ":1:1");
  }

  @Test
  void publishSendsTheTextWithItsBaseRevision() throws Exception {
    try (MockWebServer server = new MockWebServer()) {
      server.enqueue(new MockResponse.Builder().body("{\"revision\": 8}").build());
      server.start();
      int code = run("manifest", "publish", MANIFEST, "--base", "7", "--node", url(server));
      assertThat(code).isEqualTo(0);
      assertThat(out()).contains("accepted as revision 8");
      RecordedRequest request = server.takeRequest();
      assertThat(request.getTarget()).isEqualTo("/manifest?base=7");
      assertThat(request.getBody().utf8()).isEqualTo(Files.readString(Path.of(MANIFEST)));
    }
  }

  @Test
  void conflictPrintsTheDifferenceAndFails() throws Exception {
    try (MockWebServer server = new MockWebServer()) {
      String body =
          "{\"error\":{\"code\":\"manifest_conflict\",\"message\":\"+ upstream x\","
              + "\"remedy\":\"rebase\"}}";
      server.enqueue(new MockResponse.Builder().code(409).body(body).build());
      server.start();
      int code = run("manifest", "publish", MANIFEST, "--base", "7", "--node", url(server));
      assertThat(code).isEqualTo(1);
      assertThat(err()).contains("error manifest_conflict");
      assertThat(err()).contains("+ upstream x");
      assertThat(err()).contains("remedy: rebase");
    }
  }

  @Test
  void publishWithoutResponseIsReportedAsUnknown() throws Exception {
    try (MockWebServer server = new MockWebServer()) {
      server.enqueue(
          new MockResponse.Builder().onResponseStart(new SocketEffect.CloseSocket()).build());
      server.start();
      int code = run("manifest", "publish", MANIFEST, "--base", "7", "--node", url(server));
      assertThat(code).isEqualTo(3);
      assertThat(err()).contains("error outcome_unknown");
    }
  }

  @Test
  void unreachableDaemonIsReportedWithItsUrl() {
    assertThat(run("status", "--node", "http://127.0.0.1:1")).isEqualTo(1);
    assertThat(err()).contains("error unreachable at http://127.0.0.1:1/status");
  }

  @Test
  void diffOfTwoFilesPrintsTheChanges(@TempDir Path dir) throws IOException {
    String text =
        Files.readString(Path.of(MANIFEST)).replace("\"waste-averse\"", "\"crest-averse\"");
    Path newer = Files.writeString(dir.resolve("new.toml"), text);
    assertThat(run("manifest", "diff", MANIFEST, newer.toString())).isEqualTo(0);
    assertThat(out())
        .isEqualTo("~ manifest objective: WASTE_AVERSE -> CREST_AVERSE" + System.lineSeparator());
  }

  @Test
  void generatedTraceCanBeReplayed(@TempDir Path dir) {
    String trace = dir.resolve("t.jsonl").toString();
    assertThat(run("generate", "steady", "--user", "vevstua", "--out", trace)).isEqualTo(0);
    int code = run("replay", trace, "--manifest", "vevstua", "--policy", "two-choice");
    assertThat(code).isEqualTo(0);
    assertThat(out()).contains("goodput");
  }

  private static String url(MockWebServer server) {
    return "http://127.0.0.1:" + server.getPort();
  }
}
