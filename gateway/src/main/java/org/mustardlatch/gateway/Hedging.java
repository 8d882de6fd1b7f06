package org.mustardlatch.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.balancing.HedgePolicy;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * When idempotent requests to application services are sent to a second upstream as well: by the
 * {@link HedgePolicy} of the service if the operator set a share of copies, otherwise at a multiple
 * of the predicted response time. Used on the event loop of the data path only.
 */
final class Hedging {
  private static final double SLOW_RESPONSE_FACTOR = 3;
  private static final Duration MIN_SLOW_RESPONSE_DELAY = Duration.ofMillis(60);

  private final GatewaySettings settings;
  private final TimerService timers;
  private final GatewayMetrics metrics;
  private final Map<String, HedgePolicy> policies = new HashMap<>();

  Hedging(GatewaySettings settings, TimerService timers, GatewayMetrics metrics) {
    this.settings = settings;
    this.timers = timers;
    this.metrics = metrics;
  }

  /** Returns the policy for copies to a service; null if the operator set no share. */
  @Nullable HedgePolicy policy(String service) {
    if (settings.maxHedgeShare().isEmpty()) {
      return null;
    }
    double maxShare = settings.maxHedgeShare().getAsDouble();
    return policies.computeIfAbsent(service, s -> new HedgePolicy(maxShare, timers.nanos()));
  }

  /** Counts a request of a caller to a service. */
  void requestReceived(String service) {
    HedgePolicy policy = policy(service);
    if (policy != null) {
      policy.requestReceived();
    }
  }

  /**
   * Returns the time after which a request to a service may get a copy, nanoseconds; empty if it
   * gets none.
   *
   * @param predictedNanos predicted response time
   */
  OptionalLong delayNanos(String service, double predictedNanos) {
    HedgePolicy policy = policy(service);
    if (policy != null) {
      return policy.delayNanos(timers.nanos());
    }
    return OptionalLong.of(
        Math.max(
            MIN_SLOW_RESPONSE_DELAY.toNanos(), (long) (SLOW_RESPONSE_FACTOR * predictedNanos)));
  }

  /** Logs and counts a decision on a copy. */
  void explain(RoutedExchange exchange, String rule, String detail) {
    metrics.countDecision(rule);
    EventLog.log(LogEvent.DECISION, exchange.callerRequestId(), exchange.localId(), rule, detail);
  }
}
