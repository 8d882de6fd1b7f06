package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.settings.Settings;
import org.mustardlatch.core.settings.SettingsParser;
import org.mustardlatch.standin.EngineOptions;
import org.mustardlatch.standin.EngineStandin;
import org.mustardlatch.standin.ObjectServiceStandin;

/**
 * Daemon, stand-in engines and stand-in object service inside the test process, on loopback ports
 * chosen at startup.
 */
final class InProcessFleet implements AutoCloseable {
  static final String API_KEY = "demo-key";
  static final String API_KEY_SHA256 =
      "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c";

  /**
   * Prefill rate in the manifest. It is far below the actual rate of the stand-ins, so that
   * predicted times have a large margin.
   */
  private static final int PREFILL_TOKENS_PER_SECOND = 100_000;

  private final List<EngineStandin> engines = new ArrayList<>();
  private final StringBuilder upstreams = new StringBuilder();
  private final ObjectServiceStandin store = new ObjectServiceStandin();
  private final Daemon daemon;

  InProcessFleet(EngineOptions... options) {
    for (EngineOptions option : options) {
      addEngine(option);
    }
    store.start(0);
    daemon = new Daemon(settings("entry-1", store.url(), 0));
    daemon.start();
    publish("");
    Await.until(
        "ready",
        Duration.ofSeconds(5),
        () -> TestHttpClient.get(operatorUrl("/readyz")).status() == 200);
  }

  /** Starts a further daemon with the same object service. The test must stop it. */
  Daemon startAnother(String host, int drainDelayMillis) {
    Daemon other = new Daemon(settings(host, store.url(), drainDelayMillis));
    other.start();
    Await.until(
        host + " ready",
        Duration.ofSeconds(5),
        () -> TestHttpClient.get(url(other.operatorPort(), "/readyz")).status() == 200);
    return other;
  }

  static URI url(int port, String path) {
    return URI.create("http://127.0.0.1:" + port + path);
  }

  /** Sends a completion request to the daemon with the given caller port. */
  static TestHttpClient.Response complete(int port, String prompt, int tokens, boolean stream) {
    return TestHttpClient.post(
        url(port, "/v1/completions"), completionBody(prompt, tokens, stream), "application/json");
  }

  static String completionBody(String prompt, int tokens, boolean stream) {
    return "{\"model\":\"wording\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%b}"
        .formatted(prompt, tokens, stream);
  }

  /** Publishes a manifest of the engines, followed by additional manifest text. */
  void publish(String additionalText) {
    publishText(manifest() + additionalText);
  }

  /**
   * Returns manifest text with two routes to an application service: one that requires an
   * idempotency key and one for idempotent look-ups.
   */
  static String orderRoutes(URI service) {
    return """
        [[upstream]]
        name = "orders-1"
        kind = "application"
        zone = "heredia"
        url = "%s"
        [[route]]
        path = "/orders/confirm"
        methods = ["POST"]
        upstreams = ["orders-1"]
        [[route]]
        path = "/orders/status"
        methods = ["GET"]
        upstreams = ["orders-1"]
        idempotent = true
        """
        .formatted(service);
  }

  /**
   * Publishes a manifest of the engines that limits the workspace to a rate in requests per second.
   */
  void publishWithRateLimit(double rate) {
    publishText(manifest().replace("[[model]]", "requests_per_second = " + rate + "\n[[model]]"));
  }

  private void publishText(String text) {
    String base = TestHttpClient.get(operatorUrl("/status")).json().path("revision").asText();
    TestHttpClient.Response response =
        TestHttpClient.post(operatorUrl("/manifest?base=" + base), text, "application/toml");
    assertThat(response.toString()).startsWith("200 ");
  }

  EngineStandin engine(int index) {
    return engines.get(index);
  }

  ObjectServiceStandin store() {
    return store;
  }

  Daemon daemon() {
    return daemon;
  }

  URI url(String path) {
    return url(daemon.callerPort(), path);
  }

  URI operatorUrl(String path) {
    return url(daemon.operatorPort(), path);
  }

  void awaitNoAllocations(Duration timeout) {
    Await.until(
        "engines have no allocations",
        timeout,
        () -> engines.stream().allMatch(e -> e.allocations().isEmpty()));
  }

  @Override
  public void close() {
    daemon.stop();
    engines.forEach(EngineStandin::stop);
    store.close();
  }

  private void addEngine(EngineOptions options) {
    EngineStandin engine = new EngineStandin(options);
    engine.start();
    engines.add(engine);
    upstreams.append(
        """
        [[upstream]]
        name = "%s"
        kind = "engine"
        role = "%s"
        model = "wording"
        zone = "heredia"
        url = "%s"
        slots = %d
        memory_pieces = 1000
        """
            .formatted(options.name(), options.role(), engine.url(), options.slots()));
    if (!options.role().equals("decode")) {
      upstreams.append("prefill_tokens_per_second = " + PREFILL_TOKENS_PER_SECOND + "\n");
    }
  }

  private String manifest() {
    return """
    [manifest]
    name = "test"
    objective = "waste-averse"
    [[region]]
    name = "valle-central"
    zones = ["heredia"]
    [[workspace]]
    name = "tinta"
    api_keys_sha256 = ["%s"]
    [[model]]
    name = "wording"
    first_token_target_ms = 600_000
    token_gap_target_ms = 68
    %s
    """
        .formatted(API_KEY_SHA256, upstreams);
  }

  static Settings settings(String host, String store, int drainDelayMillis) {
    return SettingsParser.parse(
            "test.toml",
            """
            [node]
            host = "%s"
            region = "valle-central"
            zone = "heredia"
            caller_address = "127.0.0.1:0"
            operator_address = "127.0.0.1:0"
            peer_address = "127.0.0.1:0"
            drain_delay_ms = %d
            [object_service]
            url = "%s"
            [tls]
            mode = "plain"
            """
                .formatted(host, drainDelayMillis, store))
        .orThrow(ErrorCode.SETTINGS_INVALID);
  }
}
