package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mustardlatch.gateway.config.EngineStage;

/**
 * Guards against a response whose head ends early and that reaches its caller as a success with an
 * empty or short body: the upstream stops at any byte of the head, and closes or resets.
 */
class CutHeadTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\n";
  private static final List<String> FRAMINGS =
      List.of("Content-Length: 13\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", "\r\n");
  private static final String KV_RESPONSE =
      "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\nkv";
  private static final String EVENT = "id: 1\ndata:\n\n";

  private static final String WHOLE_STREAM = HEAD + FRAMINGS.getFirst() + EVENT;

  /** More responses than one request asks for. */
  private static final int RESPONSES = 6;

  private ScriptedUpstream prefill;
  private ScriptedUpstream decode;
  private TestGateway gateway;

  @BeforeEach
  void start() throws Exception {
    prefill = new ScriptedUpstream();
    decode = new ScriptedUpstream();
    gateway = new TestGateway();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    prefill.close();
    decode.close();
  }

  /** Writes the first bytes of a response, and closes the connection in order or resets it. */
  private static ScriptedUpstream.Step cut(String response, int length, boolean reset) {
    return (socket, out, request) -> {
      write(out, response.substring(0, length));
      if (reset) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    };
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(UTF_8));
    out.flush();
  }

  private void respondWith(ScriptedUpstream upstream, ScriptedUpstream.Step step) {
    for (int i = 0; i < RESPONSES; i++) {
      upstream.onNextRequest(step);
    }
  }

  private String send(String path) {
    StringBuilder received = new StringBuilder();
    try (Socket s = gateway.connect()) {
      String request =
          "GET %s HTTP/1.1\r\nHost: host\r\nId: q1\r\nConnection: close\r\n\r\n".formatted(path);
      s.getOutputStream().write(request.getBytes(UTF_8));
      for (int b = s.getInputStream().read(); b >= 0; b = s.getInputStream().read()) {
        received.append((char) b);
      }
    } catch (IOException e) {
      // The bytes received before a reset count.
    }
    return received.toString();
  }

  private static String at(int length, String head) {
    return "after " + length + " bytes of " + head;
  }

  @ParameterizedTest
  @CsvSource({"/once/x,false", "/once/x,true", "/again/x,false", "/again/x,true"})
  void cutHeadOfAnApplicationIsNoSuccess(String path, boolean reset) throws Exception {
    for (String framing : FRAMINGS) {
      String head = HEAD + framing;
      for (int length = 0; length < head.length(); length++) {
        try (ScriptedUpstream upstream = new ScriptedUpstream();
            TestGateway fresh = new TestGateway()) {
          gateway.close();
          gateway = fresh.addApplication("one", upstream);
          respondWith(upstream, cut(head, length, reset));

          assertWithMessage(at(length, head)).that(send(path)).doesNotContain("HTTP/1.1 2");
          if (path.startsWith("/once/")) {
            assertWithMessage(at(length, head)).that(upstream.requests()).hasSize(1);
          }
        }
      }
    }
  }

  @ParameterizedTest
  @CsvSource({"/stream/x,false", "/stream/x,true", "/resumable/x,false", "/resumable/x,true"})
  void cutHeadOfADecodeEngineIsNoSuccess(String path, boolean reset) throws Exception {
    for (String framing : FRAMINGS) {
      String head = HEAD + framing;
      for (int length = 0; length < head.length(); length++) {
        try (ScriptedUpstream first = new ScriptedUpstream();
            ScriptedUpstream second = new ScriptedUpstream();
            TestGateway fresh = new TestGateway()) {
          gateway.close();
          gateway = fresh.addEngine("prefill", first, EngineStage.PREFILL);
          gateway.addEngine("decode", second, EngineStage.DECODE);
          respondWith(first, (socket, out, request) -> write(out, KV_RESPONSE));
          respondWith(second, cut(head, length, reset));

          assertWithMessage(at(length, head)).that(send(path)).doesNotContain("HTTP/1.1 2");
          assertWithMessage(at(length, head)).that(runs(second)).isEqualTo(1);
        }
      }
    }
  }

  /** Requests to release a KV cache also go to engines. */
  private static long runs(ScriptedUpstream engine) {
    return engine.requests().stream().filter(r -> r.startsWith("GET ")).count();
  }

  @ParameterizedTest
  @CsvSource({"/stream/x,false", "/stream/x,true", "/resumable/x,false", "/resumable/x,true"})
  void cutHeadOfAPrefillEngineIsNoResponse(String path, boolean reset) throws Exception {
    int end = KV_RESPONSE.length();
    for (int length = 0; length < end; length++) {
      try (ScriptedUpstream first = new ScriptedUpstream();
          ScriptedUpstream second = new ScriptedUpstream();
          TestGateway fresh = new TestGateway()) {
        gateway.close();
        gateway = fresh.addEngine("prefill", first, EngineStage.PREFILL);
        gateway.addEngine("decode", second, EngineStage.DECODE);
        respondWith(first, cut(KV_RESPONSE, length, reset));
        respondWith(second, (socket, out, request) -> write(out, WHOLE_STREAM));

        // The decode engine may read the prompt itself.
        String response = send(path);
        String served = response.contains(EVENT) ? "HTTP/1.1 200" : "HTTP/1.1 50";
        assertWithMessage(at(length, KV_RESPONSE)).that(response).startsWith(served);
      }
    }
  }

  /** Shows that the requests of this test are served if no head is cut. */
  @Test
  void wholeResponsesAreServed() throws Exception {
    gateway.addEngine("prefill", prefill, EngineStage.PREFILL);
    gateway.addEngine("decode", decode, EngineStage.DECODE);
    prefill.respondToNextRequest(KV_RESPONSE);
    decode.respondToNextRequest(WHOLE_STREAM);

    assertThat(send("/stream/x")).startsWith("HTTP/1.1 200");
  }
}
