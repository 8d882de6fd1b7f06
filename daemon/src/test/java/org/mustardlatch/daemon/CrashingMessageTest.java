package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Range;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.standin.EngineOptions;
import org.mustardlatch.standin.EngineStandin;

/**
 * Guards against chats that are all different but share a message that crashes each engine that
 * decodes it, and against the refusal of chats that share only the other messages.
 */
class CrashingMessageTest {
  private static final String CRASHING_MESSAGE = "poison";
  private static final int DECODE_ENGINES = 4;
  private static final int CHATS = 16;
  private static final int RESTARTS = 3;

  /** Five crashes and the requests that may reach engines after them. */
  private static final int MAX_CRASHES = 8;

  private static final Duration ENGINE_RETURN_TIMEOUT = Duration.ofSeconds(20);

  private InProcessFleet fleet;
  private Daemon other;
  private int messageCount;

  @BeforeEach
  void start() {
    List<EngineOptions> engines = new ArrayList<>();
    engines.add(EngineOptions.fast("prefill", "prefill"));
    for (int i = 1; i <= DECODE_ENGINES; i++) {
      engines.add(EngineOptions.fast("decode-" + i, "decode"));
    }
    fleet = new InProcessFleet(engines.toArray(EngineOptions[]::new));
    other = fleet.startAnother("entry-2", 0);
    for (int i = 1; i <= DECODE_ENGINES; i++) {
      fleet.engine(i).faults().crashOnPrompt(CRASHING_MESSAGE);
    }
  }

  @AfterEach
  void stop() {
    other.stop();
    fleet.close();
  }

  /** Sends a chat that ends with a message of its own. */
  private TestHttpClient.Response chat(int port, String... messages) {
    StringBuilder list = new StringBuilder();
    for (String m : messages) {
      list.append("{\"role\":\"user\",\"content\":\"%s\"},".formatted(m));
    }
    messageCount++;
    String body =
        """
        {"model":"wording","max_completion_tokens":5,
         "messages":[%s{"role":"user","content":"list %d"}]}"""
            .formatted(list, messageCount);
    return TestHttpClient.post(
        InProcessFleet.url(port, "/v1/chat/completions"), body, "application/json");
  }

  /** Starts the engines again that have crashed, and returns their number. */
  private int restartEngines() {
    int crashed = 0;
    for (int i = 1; i <= DECODE_ENGINES; i++) {
      EngineStandin engine = fleet.engine(i);
      try {
        TestHttpClient.get(engine.url().resolve("/metrics.json"));
      } catch (UncheckedIOException e) {
        engine.start();
        engine.faults().crashOnPrompt(CRASHING_MESSAGE);
        crashed++;
      }
    }
    return crashed;
  }

  @Test
  void messageInDifferentChatsStopsReachingEnginesAndChatsWithoutItAreServed() {
    int[] ports = {fleet.daemon().callerPort(), other.callerPort()};
    assertThat(chat(ports[0], "style").status()).isEqualTo(200);

    int crashes = 0;
    String last = "";
    for (int i = 0; i < CHATS; i++) {
      last = chat(ports[i % ports.length], "style", CRASHING_MESSAGE).body();
      crashes += restartEngines();
    }

    assertThat(crashes).isIn(Range.closed(1, MAX_CRASHES));
    assertThat(last).contains("request_quarantined");
    for (int port : ports) {
      Await.until(
          "a chat without the message is served",
          ENGINE_RETURN_TIMEOUT,
          () -> chat(port, "style").status() == 200);
    }
    assertWithMessage("engines that crashed since").that(restartEngines()).isEqualTo(0);
  }

  @Test
  void nodeThatRestartsRefusesTheMessageOnceItIsReady() {
    int crashes = 0;
    for (int i = 0; i < CHATS; i++) {
      String unused = chat(fleet.daemon().callerPort(), "style", CRASHING_MESSAGE).body();
      crashes += restartEngines();
    }
    assertThat(crashes).isIn(Range.closed(1, MAX_CRASHES));

    for (int i = 0; i < RESTARTS; i++) {
      other.stop();
      other = fleet.startAnother("entry-2", 0);
      String body = chat(other.callerPort(), "style", CRASHING_MESSAGE).body();
      assertThat(body).contains("request_quarantined");
      assertWithMessage("engines that crashed since %s", body).that(restartEngines()).isEqualTo(0);
    }
  }
}
