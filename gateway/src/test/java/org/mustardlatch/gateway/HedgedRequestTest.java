package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/**
 * Guards against copies of requests that must not be repeated, copies whose late response reaches a
 * caller, and upstreams that go on working for a request that has its response.
 */
class HedgedRequestTest {
  private static final int FAST_REQUESTS = 40;
  private static final int SLOW_ID = 99;

  private final AtomicBoolean firstTaken = new AtomicBoolean();

  private static String request(String path, int id) {
    return "GET %s HTTP/1.1\r\nHost: host\r\nId: q%d\r\nWait: 1500\r\nConnection: close\r\n\r\n"
        .formatted(path, id);
  }

  private static String response(int id, String body) {
    return "HTTP/1.1 200 OK\r\nId: q%d\r\nMark: m\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(id, body.length(), body);
  }

  /** Whichever upstream gets the request first responds late; the other one responds at once. */
  private void slowForTheFirst(ScriptedUpstream upstream) {
    upstream.onNextRequest(
        (socket, out, request) -> {
          boolean first = firstTaken.compareAndSet(false, true);
          if (first) {
            sleep(600);
          }
          out.write(response(SLOW_ID, first ? "first" : "copy").getBytes(UTF_8));
        });
  }

  private static void sleep(int millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends fast requests, then one that is slow, and returns its response. */
  private String play(String path, ScriptedUpstream one, ScriptedUpstream two, double share)
      throws Exception {
    try (TestGateway gateway = new TestGateway(OptionalDouble.of(share))) {
      gateway.addApplication("one", one);
      for (int i = 0; i < FAST_REQUESTS; i++) {
        one.respondToNextRequest(response(i, "done"));
        assertThat(gateway.sendAndReadAll(request(path, i))).endsWith("done");
      }
      gateway.addApplication("two", two);
      slowForTheFirst(one);
      slowForTheFirst(two);
      return gateway.sendAndReadAll(request(path, SLOW_ID));
    }
  }

  @Test
  void aSlowRepeatableRequestGetsTheResponseOfItsCopyOnly() throws Exception {
    try (ScriptedUpstream one = new ScriptedUpstream();
        ScriptedUpstream two = new ScriptedUpstream()) {
      String response = play("/again/x", one, two, 0.2);

      assertThat(response).endsWith("copy");
      assertThat(response).doesNotContain("first");
      assertThat(one.requests().size() + two.requests().size()).isEqualTo(FAST_REQUESTS + 2);
    }
  }

  @Test
  void aRequestThatMustNotBeRepeatedGetsNoCopy() throws Exception {
    try (ScriptedUpstream one = new ScriptedUpstream();
        ScriptedUpstream two = new ScriptedUpstream()) {
      assertThat(play("/once/x", one, two, 0.2)).endsWith("first");
      assertThat(one.requests().size() + two.requests().size()).isEqualTo(FAST_REQUESTS + 1);
    }
  }

  @Test
  void aShareOfZeroSendsNoCopies() throws Exception {
    try (ScriptedUpstream one = new ScriptedUpstream();
        ScriptedUpstream two = new ScriptedUpstream()) {
      assertThat(play("/again/x", one, two, 0)).endsWith("first");
      assertThat(one.requests().size() + two.requests().size()).isEqualTo(FAST_REQUESTS + 1);
    }
  }
}
