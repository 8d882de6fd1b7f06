package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.mustardlatch.standin.EngineOptions;
import org.mustardlatch.standin.TokenText;

/** Guards against graceful stops that cut off streams, and against wrong exit codes at startup. */
class GracefulStopTest {
  @Test
  void aGracefulStopRefusesNewRequestsAsNotRunAndFinishesStreams() throws Exception {
    try (InProcessFleet fleet =
            new InProcessFleet(
                EngineOptions.fast("prefill-1", "prefill"),
                EngineOptions.fast("decode-1", "decode").withTokenGap(Duration.ofMillis(20)));
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      int port = fleet.daemon().callerPort();
      Future<TestHttpClient.Response> stream =
          callers.submit(() -> InProcessFleet.complete(port, "last", 60, true));
      Await.until(
          "decode runs", Duration.ofSeconds(5), () -> !fleet.engine(1).allocations().isEmpty());
      TestHttpClient.post(fleet.operatorUrl("/drain"), "", "text/plain");
      Await.until(
          "new requests are refused",
          Duration.ofSeconds(2),
          () -> {
            TestHttpClient.Response refused = InProcessFleet.complete(port, "late", 1, true);
            return refused.status() == 503 && refused.body().contains("not run");
          });
      assertThat(TestHttpClient.get(fleet.operatorUrl("/readyz")).status()).isEqualTo(503);
      fleet.daemon().awaitDrained();
      assertThat(stream.get().generatedText()).isEqualTo(TokenText.answer("last", 60));
    }
  }

  @Test
  void invalidCommandLinesAndSettingsExitWithTwo() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    assertThat(Main.run(new String[] {"--nonsense"}, out, out)).isEqualTo(2);
    assertThat(Main.run(new String[] {}, out, out)).isEqualTo(2);
    assertThat(Main.run(new String[] {"--config", "missing.toml"}, out, out)).isEqualTo(2);
    assertThat(Main.run(new String[] {"--help"}, out, out)).isEqualTo(0);
    assertThat(Main.run(new String[] {"--version"}, out, out)).isEqualTo(0);
    assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("mustardlatchd 0.1.0");
  }
}
