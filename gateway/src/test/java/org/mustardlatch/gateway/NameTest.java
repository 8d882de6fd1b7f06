package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mustardlatch.gateway.config.EngineSpec;
import org.mustardlatch.gateway.config.EngineStage;
import org.mustardlatch.gateway.config.GatewayService;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.config.RequestKind;

/**
 * Guards against names of services and upstreams for which a node no longer follows the store, or
 * serves no requests.
 */
class NameTest {
  private static final EngineSpec ENGINE =
      new EngineSpec(8, 32_000, 1000, Duration.ofMillis(500), Duration.ZERO);
  private static final String EVENT = "id: 1\ndata: a\n\n";

  private TestGateway gateway;
  private ScriptedUpstream first;
  private ScriptedUpstream second;

  @BeforeEach
  void start() throws Exception {
    gateway = new TestGateway();
    first = new ScriptedUpstream();
    second = new ScriptedUpstream();
    for (ScriptedUpstream u : List.of(first, second)) {
      u.respondToNextRequest(
          "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Type: text/event-stream\r\n"
              + "Content-Length: "
              + EVENT.length()
              + "\r\n\r\n"
              + EVENT);
    }
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    first.close();
    second.close();
  }

  static List<String> names() {
    return List.of(
        "core", "Core", "språk-llm", "日本", "a b", "-", "x".repeat(64), "ø".repeat(1_000));
  }

  private void add(
      String id, String service, ScriptedUpstream upstream, @Nullable EngineStage stage)
      throws Exception {
    gateway.add(new Instance(id, 1, service, upstream.address(), "a", 8, false, stage));
  }

  private String send(String path) throws IOException {
    return gateway.sendAndReadAll(
        "GET %s HTTP/1.1\r\nHost: host\r\nId: q1\r\nConnection: close\r\n\r\n".formatted(path));
  }

  @ParameterizedTest
  @MethodSource("names")
  void generationOfAServiceOfAnyNameIsServed(String name) throws Exception {
    gateway.applyConfiguration(
        2,
        List.of(TestGateway.route("/new/", RequestKind.STREAMING, name, false)),
        List.of(new GatewayService(name, ENGINE)));
    add(name, name, first, EngineStage.DECODE);

    assertThat(send("/new/x")).contains(EVENT);
  }

  @ParameterizedTest
  @MethodSource("names")
  void requestOfAnApplicationOfAnyNameIsServed(String name) throws Exception {
    gateway.applyConfiguration(
        2,
        List.of(TestGateway.route("/new/", RequestKind.NON_IDEMPOTENT, name, false)),
        List.of(new GatewayService(name, null)));
    add(name, name, first, null);

    assertThat(send("/new/x")).contains(EVENT);
  }

  @Test
  void servicesWhoseNamesDifferInCaseHaveEnginesOfTheirOwn() throws Exception {
    gateway.applyConfiguration(
        2,
        List.of(
            TestGateway.route("/first/", RequestKind.STREAMING, "core", false),
            TestGateway.route("/second/", RequestKind.STREAMING, "Core", false)),
        List.of(new GatewayService("core", ENGINE), new GatewayService("Core", ENGINE)));
    add("a", "core", first, EngineStage.DECODE);
    add("b", "Core", second, EngineStage.DECODE);

    assertThat(send("/first/x")).contains(EVENT);
    assertThat(send("/second/x")).contains(EVENT);
    assertThat(first.requests()).hasSize(1);
    assertThat(second.requests()).hasSize(1);
  }

  @Test
  void configurationAfterOneWithAnyNameIsApplied() throws Exception {
    gateway.applyConfiguration(
        2,
        List.of(TestGateway.route("/new/", RequestKind.STREAMING, "språk", false)),
        List.of(new GatewayService("språk", ENGINE)));
    gateway.applyConfiguration(
        3,
        List.of(TestGateway.route("/later/", RequestKind.NON_IDEMPOTENT, "app", false)),
        List.of(new GatewayService("app", null)));
    gateway.addApplication("i", first);

    assertThat(send("/later/x")).contains(EVENT);
  }
}
