package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.util.concurrent.Future.State.RUNNING;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mustardlatch.standin.ApplicationStandin;
import org.mustardlatch.standin.EngineOptions;
import org.mustardlatch.standin.EngineStandin;
import org.mustardlatch.standin.ObjectServiceStandin;
import org.mustardlatch.standin.TokenText;

/**
 * Guards against faults that occur when a node process is killed, suspended or terminated. They can
 * be reproduced only by signals to real processes.
 */
class ProcessFaultTest {
  /**
   * Covers failure detection, suspicion, refutation time and the sweep of orphaned attempts
   * (design, section 4.6).
   */
  private static final Duration DEAD_NODE_CLEANUP_TIMEOUT = Duration.ofSeconds(20);

  private static final Duration STEP_TIMEOUT = Duration.ofSeconds(30);
  private static final int LONG_OUTPUT_TOKENS = 10_000;
  private static final int CONNECTION_BURST = 400;

  @TempDir Path directory;

  private final ObjectServiceStandin store = new ObjectServiceStandin();
  private final ApplicationStandin orders = new ApplicationStandin(0);
  private final List<EngineStandin> engines =
      List.of(
          new EngineStandin(EngineOptions.fast("prefill-1", "prefill")),
          new EngineStandin(slowDecodeEngine("decode-1")),
          new EngineStandin(slowDecodeEngine("decode-2")));
  private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
  private DaemonProcess first;
  private DaemonProcess second;

  private static EngineOptions slowDecodeEngine(String name) {
    return EngineOptions.fast(name, "decode").withTokenGap(Duration.ofMillis(20));
  }

  @BeforeEach
  void start() {
    store.start(0);
    orders.start();
    engines.forEach(EngineStandin::start);
    int firstPeer = DaemonProcess.freePort();
    int secondPeer = DaemonProcess.freePort();
    first = new DaemonProcess(directory, "entry-1", store.url(), firstPeer, secondPeer);
    second = new DaemonProcess(directory, "entry-2", store.url(), secondPeer, firstPeer);
    first.awaitListening();
    TestHttpClient.Response published =
        TestHttpClient.post(first.operatorUrl("/manifest?base=0"), manifest(), "application/toml");
    assertThat(published.toString()).startsWith("200 ");
    first.awaitReady();
    second.awaitReady();
    awaitMembers(first, 2);
    awaitMembers(second, 2);
  }

  @AfterEach
  void stop() {
    first.close();
    second.close();
    engines.forEach(EngineStandin::stop);
    orders.stop();
    store.close();
    callers.shutdownNow();
  }

  @Test
  void engineMemoryOfAKilledNodeIsFreed() {
    Future<TestHttpClient.Response> interrupted =
        callers.submit(() -> complete(first, "killed", LONG_OUTPUT_TOKENS));
    awaitDecoding(interrupted);
    first.signal("KILL");
    awaitNoAllocations(DEAD_NODE_CLEANUP_TIMEOUT);
    assertThat(complete(second, "after", 10).generatedText())
        .isEqualTo(TokenText.answer("after", 10));
    interrupted.cancel(true);
  }

  @Test
  void engineMemoryOfASuspendedNodeIsFreedAndTheNodeServesAgainAfterResuming() {
    Future<TestHttpClient.Response> suspended =
        callers.submit(() -> complete(first, "frozen", LONG_OUTPUT_TOKENS));
    awaitDecoding(suspended);
    first.signal("STOP");
    awaitNoAllocations(DEAD_NODE_CLEANUP_TIMEOUT);
    first.signal("CONT");
    Await.until("resumed node serves", STEP_TIMEOUT, () -> completesCorrectly(first, "thawed"));
    suspended.cancel(true);
    awaitNoAllocations(DEAD_NODE_CLEANUP_TIMEOUT);
  }

  @Test
  void connectionsOpenedWhileTheNodeIsSuspendedAreServedAfterItResumes() throws Exception {
    first.signal("STOP");
    CountDownLatch written = new CountDownLatch(CONNECTION_BURST);
    List<Future<String>> responses = new ArrayList<>();
    for (int i = 0; i < CONNECTION_BURST; i++) {
      responses.add(callers.submit(() -> sendInTwoSegments(first.callerPort(), written)));
    }
    // With a short accept queue, all clients reconnect after 1 s at the same time and overflow the
    // queue again.
    var unused = written.await(300, TimeUnit.MILLISECONDS);
    first.signal("CONT");
    for (Future<String> response : responses) {
      assertThat(response.get()).startsWith("HTTP/1.1 ");
    }
  }

  /** Sends a request whose header is split into two TCP segments, as some clients do. */
  private static String sendInTwoSegments(int port, CountDownLatch written) throws IOException {
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
      s.setSoTimeout((int) STEP_TIMEOUT.toMillis());
      s.setTcpNoDelay(true);
      s.getOutputStream().write("GET /nothing HTTP/1.1\r\nHost: router\r\n".getBytes(US_ASCII));
      s.getOutputStream().write("Connection: close\r\n\r\n".getBytes(US_ASCII));
      written.countDown();
      return new String(s.getInputStream().readAllBytes(), US_ASCII);
    }
  }

  @Test
  void aGracefulStopFinishesTheStreamAndExitsWithZero() throws Exception {
    Future<TestHttpClient.Response> stream = callers.submit(() -> complete(first, "last", 150));
    awaitDecoding(stream);
    first.signal("TERM");
    assertThat(stream.get().generatedText()).isEqualTo(TokenText.answer("last", 150));
    assertThat(first.awaitExit(STEP_TIMEOUT)).isEqualTo(0);
  }

  @Test
  void aConfirmationStartedByAKilledNodeIsNotRunAgain() {
    orders.faults().stall(true);
    Future<?> interrupted = callers.submit(() -> confirm(first, "order-1"));
    Await.until("dispatched", STEP_TIMEOUT, () -> orders.faults().waiting() > 0);
    first.signal("KILL");
    assertThat(confirm(second, "order-1").errorCode()).isAnyOf("in_progress", "outcome_unknown");
    orders.faults().stall(false);
    Await.until("the first run ends", STEP_TIMEOUT, () -> orders.runs("order-1") > 0);
    assertThat(confirm(second, "order-1").status()).isNotEqualTo(503);
    assertThat(orders.runs("order-1")).isEqualTo(1);
    interrupted.cancel(true);
  }

  private static void awaitMembers(DaemonProcess node, int count) {
    Await.until(
        count + " members",
        STEP_TIMEOUT,
        () ->
            TestHttpClient.get(node.operatorUrl("/status")).json().path("members").size() == count);
  }

  private void awaitDecoding(Future<TestHttpClient.Response> response) {
    Await.until(
        "decode runs",
        STEP_TIMEOUT,
        () -> {
          assertWithMessage("response before decode").that(response.state()).isEqualTo(RUNNING);
          return engines.get(1).allocations().size() + engines.get(2).allocations().size() > 0;
        });
  }

  private void awaitNoAllocations(Duration timeout) {
    Await.until(
        "engines have no allocations",
        timeout,
        () -> engines.stream().allMatch(e -> e.allocations().isEmpty()));
  }

  private static boolean completesCorrectly(DaemonProcess node, String prompt) {
    try {
      return complete(node, prompt, 5).generatedText().equals(TokenText.answer(prompt, 5));
    } catch (UncheckedIOException e) {
      return false;
    }
  }

  private static TestHttpClient.Response complete(DaemonProcess node, String prompt, int tokens) {
    return InProcessFleet.complete(node.callerPort(), prompt, tokens, true);
  }

  private static TestHttpClient.Response confirm(DaemonProcess node, String key) {
    return TestHttpClient.post(
        InProcessFleet.url(node.callerPort(), "/orders/confirm"),
        "{\"order\": 1}",
        "application/json",
        "Idempotency-Key",
        key);
  }

  private String manifest() {
    StringBuilder text =
        new StringBuilder(
            """
            [manifest]
            name = "test"
            [[region]]
            name = "valle-central"
            zones = ["heredia"]
            [[workspace]]
            name = "tinta"
            api_keys_sha256 = ["%s"]
            [[model]]
            name = "wording"
            first_token_target_ms = 60_000
            """
                .formatted(InProcessFleet.API_KEY_SHA256));
    text.append(InProcessFleet.orderRoutes(orders.url()));
    addEngine(text, "prefill-1", "prefill", 0);
    addEngine(text, "decode-1", "decode", 1);
    addEngine(text, "decode-2", "decode", 2);
    return text.toString();
  }

  private void addEngine(StringBuilder text, String name, String role, int index) {
    text.append("[[upstream]]\nkind = \"engine\"\nmodel = \"wording\"\nzone = \"heredia\"\n");
    text.append("name = \"%s\"\nrole = \"%s\"\n".formatted(name, role));
    text.append("url = \"%s\"\nmemory_pieces = 1000\n".formatted(engines.get(index).url()));
    if (role.equals("prefill")) {
      text.append("prefill_tokens_per_second = 100_000\n");
    }
  }
}
