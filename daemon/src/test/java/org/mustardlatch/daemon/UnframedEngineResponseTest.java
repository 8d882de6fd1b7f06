package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlatch.standin.EngineOptions;

/**
 * Guards against a stream of an engine that ends with its connection before its final event and
 * reaches the caller as complete.
 */
class UnframedEngineResponseTest {
  /** More than the engine sends, so that their number does not complete the response. */
  private static final int MAX_TOKENS = 100;

  private static final int QUIET_MILLIS = 2_000;

  private static final String EVENT =
      "data: {\"choices\":[{\"text\":\" a\",\"finish_reason\":null}]}\n\n";
  private static final String LAST_EVENT =
      "data: {\"choices\":[{\"text\":\" b\",\"finish_reason\":\"length\"}]}\n\n";
  private static final Pattern CONTENT_LENGTH =
      Pattern.compile("content-length: *(\\d+)", Pattern.CASE_INSENSITIVE);

  private InProcessFleet fleet;
  private ServerSocket engine;
  private final AtomicInteger generations = new AtomicInteger();
  private volatile String stream = "";

  @BeforeEach
  void start() throws IOException {
    engine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
    fleet =
        new InProcessFleet(
            EngineOptions.fast("prefill", "prefill"), EngineOptions.fast("gone", "decode"));
    fleet.engine(1).stop();
    fleet.publish(
        """
        [[upstream]]
        name = "decode"
        kind = "engine"
        role = "decode"
        model = "wording"
        zone = "heredia"
        url = "http://127.0.0.1:%d"
        slots = 8
        memory_pieces = 1000
        """
            .formatted(engine.getLocalPort()));
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    engine.close();
  }

  private void accept() {
    try {
      while (true) {
        Socket s = engine.accept();
        Thread.ofVirtual().start(() -> serve(s));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket s) {
    try (s) {
      var in = s.getInputStream();
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) in.read());
      }
      Matcher length = CONTENT_LENGTH.matcher(head);
      in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
      boolean generation = head.indexOf("POST /v1/completions ") == 0;
      generations.addAndGet(generation ? 1 : 0);
      String type = generation ? "text/event-stream" : "application/json";
      String body = generation ? stream : "{\"attempts\":[]}";
      String response =
          "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: %s\r\n\r\n%s"
              .formatted(type, body);
      s.getOutputStream().write(response.getBytes(UTF_8));
    } catch (IOException e) {
      // The daemon closed the connection.
    }
  }

  /** Returns what a caller receives before the response ends or nothing more comes. */
  private String completeStream() throws IOException {
    String body = InProcessFleet.completionBody("names", MAX_TOKENS, true);
    String head =
        "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
            + InProcessFleet.API_KEY
            + "\r\nContent-Type: application/json\r\nContent-Length: "
            + body.length();
    StringBuilder response = new StringBuilder();
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), fleet.daemon().callerPort())) {
      s.setSoTimeout(QUIET_MILLIS);
      s.getOutputStream().write((head + "\r\n\r\n" + body).getBytes(UTF_8));
      for (int b = s.getInputStream().read(); b >= 0; b = s.getInputStream().read()) {
        response.append((char) b);
      }
    } catch (SocketException | SocketTimeoutException e) {
      // The daemon broke the response off, or still tries to complete it.
    }
    return response.toString();
  }

  private static boolean isFramedAsComplete(String response) {
    return response.startsWith("HTTP/1.1 200") && response.endsWith("0\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "data: {\"choi",
        EVENT,
        EVENT + "data: {\"choices\":[{\"text\":\" b\",\"finish_reason\":\"length\"}]}\n"
      })
  void streamThatEndsBeforeItsFinalEventIsNotComplete(String body) throws IOException {
    stream = body;
    String response = completeStream();
    assertThat(generations.get()).isAtLeast(1);
    assertThat(response).doesNotContain("[DONE]");
    if (isFramedAsComplete(response)) {
      assertThat(response).contains("\"code\":\"upstream_failed\"");
    }
  }

  @Test
  void streamThatEndsAfterItsFinalEventIsComplete() throws IOException {
    stream = EVENT + LAST_EVENT;
    String response = completeStream();
    assertThat(response).contains("[DONE]");
    assertWithMessage("%s", response).that(isFramedAsComplete(response)).isTrue();
  }
}
