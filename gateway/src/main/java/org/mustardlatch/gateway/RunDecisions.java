package org.mustardlatch.gateway;

import java.util.function.Consumer;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;

/**
 * Decisions of the router on application requests whose content may crash upstreams, and on their
 * upstreams while some of these limit their requests.
 */
interface RunDecisions {
  /** Returns whether a request needs a decision before it is sent to an upstream. */
  boolean required();

  /** Returns whether the upstream of a request needs a decision before it is sent. */
  boolean startRequired();

  /** Passes an event about an application request to the router. */
  void handle(RoutingEvent event);

  /** Sets the receivers of the decisions, which are delivered after the event in progress. */
  void onDecision(
      Consumer<RoutingCommand.DecideApplicationRun> runReceiver,
      Consumer<RoutingCommand.DecideApplicationStart> startReceiver);
}
