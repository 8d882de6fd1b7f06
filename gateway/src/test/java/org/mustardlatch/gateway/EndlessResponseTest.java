package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlatch.gateway.config.EngineStage;

/**
 * Guards against an upstream that sends bytes without end that are no response: they must not fill
 * the memory of the node, and the connection must be closed at once.
 */
class EndlessResponseTest {
  private static final String OK_RESPONSE =
      "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Length: 4\r\n\r\ndone";

  /** The largest buffered response and what the sockets of both ends may hold. */
  private static final long MAX_ACCEPTED_BYTES = 16L << 20;

  private static final int CLOSE_TIMEOUT_SECONDS = 3;

  private final AtomicLong written = new AtomicLong();
  private ScriptedUpstream upstream;
  private ScriptedUpstream second;
  private TestGateway gateway;

  @BeforeEach
  void start() throws Exception {
    upstream = new ScriptedUpstream();
    second = new ScriptedUpstream();
    gateway = new TestGateway();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    upstream.close();
    second.close();
  }

  /** Makes the upstream write the start once and then the rest until its connection is closed. */
  private void respondWithoutEnd(ScriptedUpstream target, String start, String repeated) {
    byte[] part = repeated.repeat(1 + 8_000 / repeated.length()).getBytes(UTF_8);
    target.onNextRequest(
        (socket, out, request) -> {
          out.write(start.getBytes(UTF_8));
          writeUntilClosed(out, part);
        });
  }

  private void writeUntilClosed(OutputStream out, byte[] part) throws IOException {
    while (true) {
      out.write(part);
      out.flush();
      written.addAndGet(part.length);
      if (written.get() > 4 * MAX_ACCEPTED_BYTES) {
        throw new AssertionError("the node reads on");
      }
    }
  }

  private void assertClosedEarly() throws InterruptedException {
    assertWithMessage("the connection is closed")
        .that(upstream.closedByClient().poll(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
        .isNotNull();
    assertThat(written.get()).isLessThan(MAX_ACCEPTED_BYTES);
  }

  private static String get(String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: host\r\nId: q1\r\nConnection: close\r\n\r\n";
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "x",
        "HTTP/1.1 200 OK\r\nHeader: v",
        "\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: other\r\nMark: m\r\n\r\n"
      })
  void closesAConnectionWhoseResponseNeverBegins(String start) throws Exception {
    gateway.addApplication("one", upstream);
    boolean interim = start.contains("100");
    respondWithoutEnd(upstream, interim ? "" : start, interim || start.isBlank() ? start : "x");

    assertThat(gateway.sendAndReadAll(get("/once/x"))).startsWith("HTTP/1.1 502");

    assertClosedEarly();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Length: 99999999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: q1\r\n\r\n",
        "HTTP/1.1 500 Error\r\nId: q1\r\n\r\n"
      })
  void closesAConnectionWhoseBodyNeverEnds(String head) throws Exception {
    gateway.addApplication("one", upstream);
    respondWithoutEnd(upstream, head, "x");

    assertThat(gateway.sendAndReadAll(get("/once/x"))).startsWith("HTTP/1.1 502");

    assertClosedEarly();
  }

  @Test
  void idempotentRequestIsServedByAnotherUpstream() throws Exception {
    gateway.addApplication("one", upstream);
    respondWithoutEnd(upstream, "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\n\r\n", "x");
    upstream.respondToNextRequest(OK_RESPONSE);
    second.respondToNextRequest(OK_RESPONSE);
    gateway.addApplication("two", second);

    assertThat(gateway.sendAndReadAll(get("/again/x"))).endsWith("done");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: q1\r\n\r\n",
        "HTTP/1.1 500 Error\r\nId: q1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nHeader: v"
      })
  void closesTheConnectionOfAStreamWithoutEvents(String head) throws Exception {
    gateway.addEngine("engine", upstream, EngineStage.DECODE);
    respondWithoutEnd(upstream, head, "x");

    assertThat(gateway.sendAndReadAll(get("/stream/x"))).startsWith("HTTP/1.1 502");

    assertClosedEarly();
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 OK\r\nId: q1\r\n\r\n", "HTTP/1.1 200 OK\r\nHeader: v"})
  void closesTheConnectionOfAPrefillWithoutEnd(String head) throws Exception {
    gateway.addEngine("prefill", upstream, EngineStage.PREFILL);
    gateway.addEngine("decode", second, EngineStage.DECODE);
    respondWithoutEnd(upstream, head, "x");

    // The node tries again until the caller's time is over.
    try (Socket caller = gateway.connect()) {
      caller.getOutputStream().write(get("/stream/x").getBytes(UTF_8));
      assertClosedEarly();
    }
  }
}
