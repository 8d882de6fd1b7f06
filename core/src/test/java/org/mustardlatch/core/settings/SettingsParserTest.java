package org.mustardlatch.core.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.error.ErrorCode;

/** Guards against a daemon that starts with settings of which a part was ignored or invalid. */
class SettingsParserTest {
  private static String example() throws IOException {
    return Files.readString(Path.of("..", "examples", "node-a.toml"));
  }

  private static List<String> findings(String text) {
    return SettingsParser.parse("s.toml", text).findings().stream()
        .map(f -> f.location().line() + " " + f.code())
        .toList();
  }

  @Test
  void exampleSettingsAreParsedCompletely() throws IOException {
    Settings s = SettingsParser.parse("s", example()).orThrow(ErrorCode.SETTINGS_INVALID);
    assertThat(s.callerAddress()).isEqualTo(new SocketAddress("127.0.0.1", 8080));
    assertThat(s.drainDelay()).isEqualTo(Duration.ofSeconds(3));
    assertThat(s.peerSecurity()).isEqualTo(new PeerSecurity.Plaintext());
  }

  @Test
  void plaintextModeIsRejectedOnNonLoopbackAddresses() throws IOException {
    assertThat(findings(example().replace("127.0.0.1:8082", "10.0.0.1:8082")))
        .containsExactly("19 plain_not_allowed");
  }

  @Test
  void missingTlsFilesAndUnknownKeysAreReportedTogether() throws IOException {
    String text = example().replace("mode = \"plain\"", "mod = \"plain\"");
    assertThat(findings(text))
        .containsExactly("18 missing_key", "18 missing_key", "18 missing_key", "19 unknown_key");
  }

  @Test
  void hostNamesAndInvalidPortsAreRejected() throws IOException {
    assertThat(findings(example().replace("127.0.0.1:8080", "localhost:8080")))
        .containsExactly("7 invalid_value");
    assertThat(findings(example().replace("127.0.0.1:8080", "127.0.0.1:80800")))
        .containsExactly("7 invalid_value");
  }
}
