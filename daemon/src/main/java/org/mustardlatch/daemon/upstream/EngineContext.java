package org.mustardlatch.daemon.upstream;

import java.util.function.Consumer;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * The collaborators shared by all engine calls of a node.
 *
 * @param timers clock and timers for progress timeouts
 * @param activeCalls calls in progress; a call removes itself when it ends
 * @param failureProbe classifies calls that ended without a complete response
 * @param events receives the routing events that calls produce
 */
record EngineContext(
    TimerService timers,
    ActiveCalls activeCalls,
    FailureProbe failureProbe,
    Consumer<RoutingEvent> events) {

  void logUpstreamError(UpstreamHost host, AttemptId attempt, int status, String message) {
    EventLog.log(LogEvent.UPSTREAM_ERROR, host.id(), status, attempt, message);
  }
}
