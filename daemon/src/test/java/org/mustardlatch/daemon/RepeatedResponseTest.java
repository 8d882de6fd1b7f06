package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.standin.EngineOptions;

/**
 * Guards against an upstream's second copy of a response, written when the next request arrives on
 * the same connection, that reaches the next caller.
 */
class RepeatedResponseTest {
  private static final int CALLS = 4;
  private static final Pattern CONTENT_LENGTH =
      Pattern.compile("content-length: *(\\d+)", Pattern.CASE_INSENSITIVE);

  private final AtomicInteger responses = new AtomicInteger();
  private InProcessFleet fleet;
  private ServerSocket upstream;

  @BeforeEach
  void start() throws IOException {
    upstream = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
    fleet =
        new InProcessFleet(
            EngineOptions.fast("prefill", "prefill"), EngineOptions.fast("gone", "decode"));
    fleet.engine(1).stop();
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    upstream.close();
  }

  private void accept() {
    try {
      while (true) {
        Socket s = upstream.accept();
        Thread.ofVirtual().start(() -> serve(s));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket s) {
    String copy = "";
    try (s) {
      while (true) {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
          int b = s.getInputStream().read();
          if (b < 0) {
            return;
          }
          head.append((char) b);
        }
        Matcher length = CONTENT_LENGTH.matcher(head);
        s.getInputStream().readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        String response = response(head.toString());
        s.getOutputStream().write((copy + response).getBytes(UTF_8));
        copy = response;
      }
    } catch (IOException e) {
      // The daemon closed the connection.
    }
  }

  private String response(String head) {
    if (head.startsWith("POST /v1/completions ")) {
      String event =
          "data: {\"choices\":[{\"text\":\" answer-%d.\",\"finish_reason\":\"length\"}]}\n\n"
              .formatted(responses.incrementAndGet());
      return whole("text/event-stream", event);
    }
    if (head.startsWith("GET /orders/status ")) {
      return whole("text/plain", "answer-%d.".formatted(responses.incrementAndGet()));
    }
    return whole("application/json", "{\"attempts\":[]}");
  }

  private static String whole(String type, String body) {
    return "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(type, body.length(), body);
  }

  @Test
  void copyOfAnEngineStreamReachesNoOtherCaller() {
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
            .formatted(upstream.getLocalPort()));

    for (int i = 1; i <= CALLS; i++) {
      TestHttpClient.Response r =
          InProcessFleet.complete(fleet.daemon().callerPort(), "list " + i, 1, true);
      assertThat(r.body()).contains("answer-" + i + ".");
    }
  }

  @Test
  void copyOfAnApplicationResponseReachesNoOtherCaller() {
    URI service = URI.create("http://127.0.0.1:" + upstream.getLocalPort());
    fleet.publish(InProcessFleet.orderRoutes(service));

    for (int i = 1; i <= CALLS; i++) {
      assertThat(TestHttpClient.get(fleet.url("/orders/status")).body())
          .isEqualTo("answer-" + i + ".");
    }
  }
}
