package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.budget.Allowance;
import org.mustardlatch.gateway.config.EngineStage;
import org.mustardlatch.gateway.config.GatewayWorkspace;

/**
 * Guards against a key that reaches an upstream, a call that lacks the name of the workspace, and a
 * request that runs without a valid key or beyond the allowance.
 */
class WorkspaceRequestTest {
  private static final String KEY = "Planner-Key";
  private static final String LIMITED_KEY = "Limited-Key";

  /** Time in which the empty bucket of a new owner gets its first unit. */
  private static final int FIRST_UNIT_MILLIS = 1_100;

  private static final int MAX_PREFILLS = 4;

  private ScriptedUpstream first;
  private ScriptedUpstream second;
  private TestGateway gateway;

  @BeforeEach
  void start() throws Exception {
    first = new ScriptedUpstream();
    second = new ScriptedUpstream();
    var oneInASecond = new Allowance(Allowance.Unit.REQUESTS, 1, 1, 0);
    gateway =
        new TestGateway(
            Duration.ZERO,
            List.of(
                new GatewayWorkspace("planners", List.of(KEY), 5, null),
                new GatewayWorkspace("limited", List.of(LIMITED_KEY), 5, oneInASecond)));
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    first.close();
    second.close();
  }

  private static String post(String path, String headers) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: host\r\nId: q1\r\n"
        + headers
        + "Connection: close\r\nContent-Length: 1\r\n\r\np";
  }

  private static String withKey(String key) {
    return "Key: " + key + "\r\nWorkspace: forged\r\n";
  }

  private static String response(int status, String body) {
    return "HTTP/1.1 "
        + status
        + " X\r\nId: q1\r\nMark: m\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private void assertCallsNameTheWorkspaceOnly(int minCalls) {
    List<String> all = new ArrayList<>(first.requests());
    all.addAll(second.requests());
    assertThat(all.size()).isAtLeast(minCalls);
    for (String call : all) {
      assertWithMessage("call without the key").that(call).doesNotContain(KEY);
      assertThat(call).contains("Workspace: planners\r\n");
      assertThat(call).doesNotContain("forged");
    }
  }

  @Test
  void requestsWithoutAValidKeyAreRefusedAndReachNoUpstream() throws Exception {
    gateway.addApplication("one", first);
    for (String headers :
        List.of("", withKey("unknown"), withKey("planner-key"), withKey("PLANNER-KEY"))) {
      String response = gateway.sendAndReadAll(post("/once/x", headers));
      assertThat(response).startsWith("HTTP/1.1 401");
      assertThat(response).contains("\"code\":\"unauthenticated\"");
    }
    assertThat(first.requests()).isEmpty();
  }

  @Test
  void publicRouteIsServedWithoutAKey() throws Exception {
    gateway.addApplication("one", first);
    first.respondToNextRequest(response(200, "done"));

    assertThat(gateway.sendAndReadAll(post("/public/x", withKey("unknown")))).endsWith("done");
    assertThat(first.requests().getFirst()).doesNotContain("Key:");
    assertThat(first.requests().getFirst()).contains("Workspace: null");
  }

  @Test
  void repeatedCallNamesTheWorkspace() throws Exception {
    gateway.addApplication("one", first).addApplication("two", second);
    for (ScriptedUpstream u : List.of(first, second)) {
      u.respondToNextRequest(response(500, "bad")).respondToNextRequest(response(500, "bad"));
    }

    gateway.sendAndReadAll(post("/again/x", withKey(KEY)));

    assertCallsNameTheWorkspaceOnly(2);
  }

  @Test
  void requestBeyondTheAllowanceIsRefusedWithATimeToComeBack() throws Exception {
    gateway.addApplication("one", first);
    first.respondToNextRequest(response(200, "done"));
    TimeUnit.MILLISECONDS.sleep(FIRST_UNIT_MILLIS);

    assertThat(gateway.sendAndReadAll(post("/once/x", withKey(LIMITED_KEY)))).endsWith("done");
    String refusal = gateway.sendAndReadAll(post("/once/x", withKey(LIMITED_KEY)));

    assertThat(refusal).startsWith("HTTP/1.1 429");
    assertThat(refusal).contains("\"code\":\"rate_limited\"");
    assertThat(refusal.toLowerCase(Locale.ROOT)).contains("retry-after: ");
    assertThat(first.requests()).hasSize(1);
  }

  @Test
  void requestThatReachesNoUpstreamGetsItsUnitsBack() throws Exception {
    TimeUnit.MILLISECONDS.sleep(FIRST_UNIT_MILLIS);
    String refusal = gateway.sendAndReadAll(post("/once/x", withKey(LIMITED_KEY)));
    assertThat(refusal).startsWith("HTTP/1.1 503");

    gateway.addApplication("one", first);
    first.respondToNextRequest(response(200, "done"));
    assertThat(gateway.sendAndReadAll(post("/once/x", withKey(LIMITED_KEY)))).endsWith("done");
  }

  @Test
  void prefillAndDecodeNameTheWorkspace() throws Exception {
    gateway
        .addEngine("prefill", first, EngineStage.PREFILL)
        .addEngine("decode", second, EngineStage.DECODE);
    // On a busy machine a prefill can be late, and is then called again.
    for (int i = 0; i < MAX_PREFILLS; i++) {
      first.respondToNextRequest(response(200, "kv1"));
    }
    second.onNextRequest(
        (socket, out, request) -> out.write(response(200, "id: 1\n\n").getBytes(UTF_8)));

    assertThat(gateway.sendAndReadAll(post("/stream/x", withKey(KEY)))).contains("id: 1");

    assertCallsNameTheWorkspaceOnly(2);
    assertThat(first.requests().getFirst()).contains("Part: prefill");
    assertThat(second.requests().getFirst()).contains("Part: decode kv1");
  }
}
