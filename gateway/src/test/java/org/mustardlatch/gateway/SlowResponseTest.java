package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlatch.gateway.config.EngineStage;

/**
 * Guards against slow but sound responses that are cut off or sent for again, also when the entry
 * of their upstream lapses meanwhile, and against stalled ones that never end because a byte
 * arrives now and then.
 */
class SlowResponseTest {
  private static final String STREAM_HEAD =
      """
      HTTP/1.1 200 OK
      Id: q1
      Mark: m
      Content-Type: text/event-stream
      Transfer-Encoding: chunked

      """
          .replace("\n", "\r\n");
  private static final String STREAM_END = "0\r\n\r\n";

  /** Time that callers of stalled responses wait. */
  private static final int PATIENCE_MILLIS = 1_000;

  /** Time after the caller's deadline by which the caller must have an end. */
  private static final int SLACK_MILLIS = 500;

  private final ScriptedUpstream upstream = new ScriptedUpstream();
  private TestGateway gateway;

  SlowResponseTest() throws IOException {}

  @BeforeEach
  void start() throws Exception {
    gateway = new TestGateway();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    upstream.close();
  }

  private String call(String path, int waitMillis) throws IOException {
    String request =
        "POST %s HTTP/1.1\r\nHost: host\r\nId: q1\r\nWait: %d\r\nConnection: close\r\n"
            .formatted(path, waitMillis);
    StringBuilder response = new StringBuilder();
    try (Socket s = gateway.connect()) {
      s.getOutputStream().write((request + "Content-Length: 1\r\n\r\np").getBytes(UTF_8));
      for (int b = s.getInputStream().read(); b >= 0; b = s.getInputStream().read()) {
        response.append((char) b);
      }
    } catch (SocketException e) {
      // The gateway broke the response off.
    }
    return response.toString();
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(UTF_8));
    out.flush();
  }

  private static void sleep(int millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes a stream of events with pauses before each of them. */
  private static ScriptedUpstream.Step slowStream(int pauseMillis, int events) {
    return (socket, out, request) -> {
      write(out, STREAM_HEAD);
      for (int i = 1; i <= events; i++) {
        sleep(pauseMillis);
        write(out, "7\r\nid: " + i + "\n\n\r\n");
      }
      write(out, STREAM_END);
    };
  }

  @ParameterizedTest
  @ValueSource(strings = {"/stream/x", "/resumable/x"})
  void slowStreamArrivesWhole(String path) throws Exception {
    gateway.addEngine("one", upstream.address(), EngineStage.DECODE);
    upstream.onNextRequest(slowStream(600, 5));

    String response = call(path, 5_000);

    assertThat(response).contains("id: 5\n\n");
    assertThat(response).endsWith(STREAM_END);
    assertThat(upstream.requests()).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/stream/x", "/resumable/x"})
  void streamWithALateFirstEventAfterAPrefillArrivesWhole(String path) throws Exception {
    try (ScriptedUpstream prefill = new ScriptedUpstream()) {
      prefill.respondToNextRequest(
          "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Length: 2\r\n\r\nkv");
      gateway
          .addEngine("prefill", prefill.address(), EngineStage.PREFILL)
          .addEngine("decode", upstream.address(), EngineStage.DECODE);
      upstream.onNextRequest(slowStream(300, 3));

      String response = call(path, 4_000);

      assertThat(response).contains("id: 3\n\n");
      assertThat(response).endsWith(STREAM_END);
      assertThat(upstream.requests()).hasSize(1);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"/once/x", "/again/x"})
  void slowResponseArrivesWhole(String path) throws Exception {
    gateway.addApplication("one", upstream);
    upstream.onNextRequest(
        (socket, out, request) -> {
          write(out, "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Length: 4\r\n\r\n");
          for (String part : new String[] {"d", "o", "n", "e"}) {
            sleep(600);
            write(out, part);
          }
        });

    assertThat(call(path, 5_000)).endsWith("done");
    assertThat(upstream.requests()).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/stream/x", "/resumable/x", "/once/x", "/again/x"})
  void responseGoesOnAfterTheEntryOfItsUpstreamLapsed(String path) throws Exception {
    boolean stream = path.startsWith("/stream") || path.startsWith("/resumable");
    if (stream) {
      gateway.addEngine("one", upstream.address(), EngineStage.DECODE);
    } else {
      gateway.addApplication("one", upstream);
    }
    upstream.onNextRequest(
        (socket, out, request) -> {
          write(out, STREAM_HEAD + "7\r\nid: 1\n\n\r\n");
          try {
            gateway.removeEntry("one");
          } catch (Exception e) {
            throw new IOException(e);
          }
          sleep(1_000);
          write(out, "7\r\nid: 2\n\n\r\n" + STREAM_END);
        });

    String response = call(path, 5_000);

    assertThat(response).contains("id: 2\n\n");
    assertThat(upstream.requests()).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/stream/x", "/resumable/x", "/once/x", "/again/x"})
  void stalledResponseWithAByteNowAndThenEndsAtTheDeadline(String path) throws Exception {
    gateway
        .addEngine("engine", upstream.address(), EngineStage.DECODE)
        .addApplication("one", upstream);
    ScriptedUpstream.Step stalled =
        (socket, out, request) -> {
          write(out, STREAM_HEAD);
          while (true) {
            sleep(50);
            write(out, "1\r\n:\r\n");
          }
        };
    upstream.onNextRequest(stalled).onNextRequest(stalled).onNextRequest(stalled);
    long start = System.nanoTime();

    String response = call(path, PATIENCE_MILLIS);

    long millis = (System.nanoTime() - start) / 1_000_000;
    assertWithMessage("%s", response).that(response).doesNotContain(STREAM_END);
    assertThat(millis).isAtMost(PATIENCE_MILLIS + SLACK_MILLIS);
  }
}
