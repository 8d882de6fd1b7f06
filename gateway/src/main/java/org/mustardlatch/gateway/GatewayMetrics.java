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

/** Counters and latency histograms of the data path. Used on its event loop only. */
public final class GatewayMetrics {
  // Wide enough for the quickest application answer and the longest stream.
  private static final Duration SHORTEST = Duration.ofMillis(5);
  private static final Duration LONGEST = Duration.ofSeconds(30);

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<String, Counter> counters = new HashMap<>();
  private final Map<RequestKind, Timer> firstBytes = new HashMap<>();
  private final Timer longestPauses =
      histogram("mustardlatch.stream.longest.pause").register(registry);

  /** Creates metrics that count from zero. */
  public GatewayMetrics() {}

  /** Returns all metrics in the Prometheus text format. */
  String scrape() {
    return registry.scrape();
  }

  /** Serves a number that is read at every scrape. */
  void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).register(registry);
  }

  /** Takes note of how a request ended. */
  void ended(RequestKind kind, String outcome, int status) {
    count("mustardlatch.requests", "kind", lower(kind), "outcome", outcome, "status", "" + status);
  }

  /** Takes note of the longest pause between the events of a complete stream. */
  void longestPause(long nanos) {
    longestPauses.record(Duration.ofNanos(nanos));
  }

  /** Takes note of the time from a request to the first byte of its answer. */
  void firstByte(RequestKind kind, long nanos) {
    firstBytes
        .computeIfAbsent(
            kind,
            k -> histogram("mustardlatch.first.byte").tag("kind", lower(k)).register(registry))
        .record(Duration.ofNanos(nanos));
  }

  /** Takes note of a routing rule that was applied. */
  void decision(String rule) {
    count("mustardlatch.decisions", "rule", rule);
  }

  /** Takes note of a call to an upstream that brought no whole answer. */
  void callFailed(String part, String failure) {
    count("mustardlatch.calls.failed", "part", part, "failure", failure);
  }

  private static Timer.Builder histogram(String name) {
    return Timer.builder(name)
        .publishPercentileHistogram()
        .minimumExpectedValue(SHORTEST)
        .maximumExpectedValue(LONGEST);
  }

  private void count(String name, String... tags) {
    counters
        .computeIfAbsent(
            name + String.join(",", tags), k -> Counter.builder(name).tags(tags).register(registry))
        .increment();
  }

  private static String lower(RequestKind kind) {
    return kind.name().toLowerCase(Locale.ROOT);
  }
}
