package org.mustardlatch.daemon.upstream;

import java.util.function.Consumer;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * What every engine call needs.
 *
 * @param timers timers
 * @param activeCalls calls in progress
 * @param failureProbe finds out what a broken call means
 * @param events takes the events that calls produce
 */
record EngineContext(
    TimerService timers, ActiveCalls activeCalls, FailureProbe failureProbe, Consumer<RoutingEvent> events) {

  void logUpstreamError(UpstreamHost host, AttemptId attempt, int status, String message) {
    EventLog.log(LogEvent.UPSTREAM_ERROR, host.id(), status, attempt, message);
  }
}
