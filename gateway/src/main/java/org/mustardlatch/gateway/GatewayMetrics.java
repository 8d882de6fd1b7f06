package org.mustardlatch.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.mustardlatch.gateway.config.RequestKind;
import org.mustardlatch.gateway.http.ConnectionProbe;

/** The metrics of the data path in a Prometheus registry. Used on its event loop only. */
public final class GatewayMetrics {
  // Histogram range from the fastest application response to the longest stream.
  private static final Duration MIN_EXPECTED_DURATION = Duration.ofMillis(5);
  private static final Duration MAX_EXPECTED_DURATION = Duration.ofSeconds(30);

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<String, Counter> counters = new HashMap<>();
  private final Map<RequestKind, Timer> firstByteTimers = new HashMap<>();
  private final Timer longestPauseTimer =
      histogram("mustardlatch.stream.longest.pause").register(registry);

  /** Creates metrics without recorded values. */
  public GatewayMetrics() {}

  /** Returns all metrics in the Prometheus text format. */
  String scrape() {
    return registry.scrape();
  }

  /** Registers a gauge whose value is read at every scrape. */
  void registerGauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).register(registry);
  }

  /** Counts a request that ended, by kind, outcome and HTTP status. */
  void countRequest(RequestKind kind, String outcome, int status) {
    count(
        "mustardlatch.requests",
        "kind",
        lowerCaseName(kind),
        "outcome",
        outcome,
        "status",
        "" + status);
  }

  /** Records the longest pause between two events of a complete stream, nanoseconds. */
  void recordLongestPause(long nanos) {
    longestPauseTimer.record(Duration.ofNanos(nanos));
  }

  /**
   * Records the time from the arrival of a request to the first byte of its response, nanoseconds.
   */
  void recordFirstByte(RequestKind kind, long nanos) {
    firstByteTimers
        .computeIfAbsent(
            kind,
            k ->
                histogram("mustardlatch.first.byte")
                    .tag("kind", lowerCaseName(k))
                    .register(registry))
        .record(Duration.ofNanos(nanos));
  }

  /** Counts a routing decision by the rule that made it. */
  void countDecision(String rule) {
    count("mustardlatch.decisions", "rule", rule);
  }

  /**
   * Counts a call to an upstream that ended without a usable response.
   *
   * @param part the part of the request that the call was for, such as "prefill"
   * @param failure the kind of failure, or "any"
   */
  void countFailedCall(String part, String failure) {
    count("mustardlatch.calls.failed", "part", part, "failure", failure);
  }

  /** Counts a probe of an upstream after a call to it broke. */
  void countProbe(ConnectionProbe.Result result, boolean crashed) {
    count(
        "mustardlatch.upstream.probes",
        "result",
        result.name().toLowerCase(Locale.ROOT),
        "crashed",
        "" + crashed);
  }

  private static Timer.Builder histogram(String name) {
    return Timer.builder(name)
        .publishPercentileHistogram()
        .minimumExpectedValue(MIN_EXPECTED_DURATION)
        .maximumExpectedValue(MAX_EXPECTED_DURATION);
  }

  private void count(String name, String... tags) {
    counters
        .computeIfAbsent(
            name + String.join(",", tags), k -> Counter.builder(name).tags(tags).register(registry))
        .increment();
  }

  private static String lowerCaseName(RequestKind kind) {
    return kind.name().toLowerCase(Locale.ROOT);
  }
}
