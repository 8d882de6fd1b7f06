package org.mustardlatch.gateway;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.http.BufferedResponse;
import org.mustardlatch.gateway.http.ResponseEnd;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/** The state of a generation request in progress. */
final class GenerationStream {
  final RoutedExchange exchange;
  final RequestId id;
  final SseEventSplitter events = new SseEventSplitter();
  final StreamTiming timing;

  /**
   * The last error response to a decode, except refusals. Null if there was none, or if a later
   * response was a success without the stamp of an upstream, which must not reach the caller.
   */
  @Nullable BufferedResponse lastErrorResponse;

  /** The decode whose events are forwarded to the caller; null before the first one. */
  @Nullable AttemptId forwardedAttempt;

  /**
   * Software version of the engine whose events the caller has; null as long as it has none, or if
   * the engine does not state its version.
   */
  @Nullable String softwareVersion;

  /** How the end of the last response to a decode was recognized. */
  ResponseEnd end = ResponseEnd.FRAMING;

  GenerationStream(RoutedExchange exchange) {
    this.exchange = exchange;
    this.id = new RequestId(exchange.localId());
    this.timing = new StreamTiming(exchange.caller().receivedNanos());
  }

  /** Returns the plan of a call that resumes after the last event sent to the caller. */
  UpstreamCallPlan callPlan(
      Instance target, UpstreamCallPlan.Work work, @Nullable String reservationId) {
    long remainingMillis = (exchange.deadlineNanos() - System.nanoTime()) / 1_000_000;
    return new UpstreamCallPlan(
        target,
        Math.max(1, remainingMillis),
        work,
        events.lastEventId(),
        reservationId,
        exchange.identity());
  }

  /** Returns whether an engine may send events after those that the caller has. */
  boolean mayGoOnAt(Instance engine) {
    return softwareVersion == null || softwareVersion.equals(engine.softwareVersion());
  }

  /** Logs the timing of the events of a complete stream. */
  void logTiming() {
    EventLog.log(
        LogEvent.STREAM_DELIVERED,
        exchange.callerRequestId(),
        timing.eventCount(),
        timing.firstEventMillis(),
        timing.longestPauseNanos() / 1_000_000,
        timing.eventsBeforeLongestPause(),
        end,
        events.incompleteEventBytes().length);
  }

  /** Logs that a stage of the request is sent to an engine. */
  void logStageSent(Instance target, String stage, AttemptId attempt) {
    EventLog.log(
        LogEvent.STAGE_SENT,
        exchange.callerRequestId(),
        attempt,
        stage,
        target.id(),
        target.zone(),
        String.valueOf(target.softwareVersion()),
        events.eventCount(),
        exchange.contentId());
  }
}
