package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.standin.EngineOptions;
import org.mustardlatch.standin.TokenText;

/**
 * Guards against output that is incomplete or belongs to another request, and against requests
 * whose engine memory is not freed.
 */
class RequestPathTest {
  private static final Duration TOKEN_GAP = Duration.ofMillis(10);

  private final InProcessFleet fleet =
      new InProcessFleet(
          EngineOptions.fast("prefill-1", "prefill"),
          EngineOptions.fast("decode-1", "decode").withTokenGap(TOKEN_GAP),
          EngineOptions.fast("decode-2", "decode").withTokenGap(TOKEN_GAP));

  @AfterEach
  void close() {
    fleet.close();
  }

  @Test
  void aStreamCarriesTheWholeOutputAndTheEndMarker() {
    TestHttpClient.Response response = complete("write a wedding envelope", 20, true);
    assertThat(response.generatedText())
        .isEqualTo(TokenText.answer("write a wedding envelope", 20));
    assertThat(response.body()).endsWith("data: [DONE]\n\n");
    fleet.awaitNoAllocations(Duration.ofSeconds(5));
    String id = response.header("x-request-id");
    assertThat(TestHttpClient.get(fleet.operatorUrl("/explain/" + id)).body()).contains("rule");
  }

  @Test
  void aNonStreamedResponseContainsItsUsage() {
    TestHttpClient.Response response = complete("write a birthday envelope", 7, false);
    assertThat(response.generatedText())
        .isEqualTo(TokenText.answer("write a birthday envelope", 7));
    assertThat(response.json().path("usage").path("completion_tokens").asInt()).isEqualTo(7);
  }

  @Test
  void aChatCompletionIsGeneratedFromItsMessages() {
    TestHttpClient.Response response =
        TestHttpClient.post(
            fleet.url("/v1/chat/completions"),
            """
            {"model": "wording", "max_completion_tokens": 5,
             "messages": [{"role": "user", "content": "two names"}]}""",
            "application/json");
    assertThat(response.json().at("/choices/0/message/content").asText())
        .isEqualTo(TokenText.answer("<user>two names\n<assistant>", 5));
  }

  @Test
  void twoHundredConcurrentStreamsEachCarryTheirOwnOutput() throws Exception {
    List<Future<TestHttpClient.Response>> responses = new ArrayList<>();
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < 200; i++) {
        String prompt = "guest list number " + i;
        responses.add(callers.submit(() -> complete(prompt, 20, true)));
      }
      for (int i = 0; i < 200; i++) {
        TestHttpClient.Response response = responses.get(i).get();
        assertWithMessage(explain(response)).that(response.toString()).startsWith("200 ");
        assertThat(response.generatedText())
            .isEqualTo(TokenText.answer("guest list number " + i, 20));
      }
    }
    fleet.awaitNoAllocations(Duration.ofSeconds(5));
  }

  @Test
  void aDisconnectBeforeTheFirstTokenFreesTheEngines() throws IOException {
    fleet.engine(1).faults().stall(true);
    fleet.engine(2).faults().stall(true);
    disconnectDuringDecode("a list that nobody waits for");
  }

  @Test
  void aDisconnectDuringAStreamFreesTheEngines() throws IOException {
    disconnectDuringDecode("a long list that nobody reads to the end");
  }

  @Test
  void aDecodeEngineCrashMidStreamCausesNeitherGapNorDuplicate() {
    fleet.engine(1).faults().crashAfter(7);
    for (int i = 0; i < 4; i++) {
      TestHttpClient.Response response = complete("names " + i, 25, true);
      assertThat(response.generatedText()).isEqualTo(TokenText.answer("names " + i, 25));
      assertThat(response.body()).endsWith("data: [DONE]\n\n");
    }
    fleet.awaitNoAllocations(Duration.ofSeconds(5));
  }

  @Test
  void anEngineConnectionThatStopsSendingDoesNotLoseOutput() throws Exception {
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      Future<TestHttpClient.Response> response = callers.submit(() -> complete("silent", 60, true));
      Await.until("decode runs", Duration.ofSeconds(5), () -> decodeAllocations() > 0);
      fleet.engine(1).goSilent();
      fleet.engine(2).goSilent();
      assertThat(response.get().generatedText()).isEqualTo(TokenText.answer("silent", 60));
    }
    fleet.awaitNoAllocations(Duration.ofSeconds(5));
  }

  @Test
  void cancelsAreRepeatedUntilTheEngineAcknowledgesThem() throws IOException {
    fleet.engine(1).faults().ignoreCancels(2);
    fleet.engine(2).faults().ignoreCancels(2);
    disconnectDuringDecode("a list whose cancel gets lost");
  }

  /**
   * Disconnects during the decode of a long request and checks that the engines free its memory.
   */
  private void disconnectDuringDecode(String prompt) throws IOException {
    String body = InProcessFleet.completionBody(prompt, 10_000, true);
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), fleet.daemon().callerPort())) {
      socket
          .getOutputStream()
          .write(
              ("POST /v1/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer "
                      + InProcessFleet.API_KEY
                      + "\r\nContent-Length: "
                      + body.length()
                      + "\r\n\r\n"
                      + body)
                  .getBytes(StandardCharsets.US_ASCII));
      Await.until("decode runs", Duration.ofSeconds(5), () -> decodeAllocations() > 0);
    }
    fleet.awaitNoAllocations(Duration.ofSeconds(5));
  }

  private String explain(TestHttpClient.Response response) {
    return TestHttpClient.get(fleet.operatorUrl("/explain/" + response.header("x-request-id")))
        .body();
  }

  private int decodeAllocations() {
    return fleet.engine(1).allocations().size() + fleet.engine(2).allocations().size();
  }

  private TestHttpClient.Response complete(String prompt, int tokens, boolean stream) {
    return InProcessFleet.complete(fleet.daemon().callerPort(), prompt, tokens, stream);
  }
}
