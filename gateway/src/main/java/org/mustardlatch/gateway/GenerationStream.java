package org.mustardlatch.gateway;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.http.UpstreamAnswer;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/** A generation request in progress. */
final class GenerationStream {
  final Exchange exchange;
  final RequestId id;
  final EventStream events = new EventStream();
  final StreamTimes times;

  /** The last failure that an upstream itself answered; null for none. */
  @Nullable UpstreamAnswer failed;

  GenerationStream(Exchange exchange) {
    this.exchange = exchange;
    this.id = new RequestId(exchange.name());
    this.times = new StreamTimes(exchange.caller().receivedNanos());
  }

  UpstreamCallPlan plan(Instance target, UpstreamCallPlan.Work work, @Nullable String reservation) {
    long left = (exchange.endNanos() - System.nanoTime()) / 1_000_000;
    return new UpstreamCallPlan(target, Math.max(1, left), work, events.lastId(), reservation);
  }

  /** Logs when the events of a complete stream went to the caller. */
  void logTimes() {
    EventLog.log(
        LogEvent.STREAM_DELIVERED,
        exchange.callerId(),
        times.events(),
        times.firstMillis(),
        times.longestPauseNanos() / 1_000_000,
        times.longestPauseAfter());
  }

  void logSent(Instance target, String stage, AttemptId attempt) {
    EventLog.log(
        LogEvent.STAGE_SENT,
        exchange.callerId(),
        attempt,
        stage,
        target.id(),
        target.zone(),
        events.events());
  }
}
