package org.mustardlatch.daemon.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.routing.PolicyRunner;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.routing.RoutingPolicy;
import org.mustardlatch.daemon.node.EventLoop;

/**
 * Runs the routing policy on the event loop, one event at a time, and executes its commands in
 * order before the next event. The public methods may be called on any thread.
 */
public final class RoutingService {
  private final EventLoop loop;
  private final PolicyRunner runner;
  private final EngineCommandExecutor engines;
  private final PeerSender peers;
  private final ExplainLog explanations = new ExplainLog();
  private final Map<RequestId, GenerationExchange> exchanges = new ConcurrentHashMap<>();

  /** Creates a service; events may be posted immediately. */
  public RoutingService(
      EventLoop loop, RoutingPolicy policy, EngineCommandExecutor engines, PeerSender peers) {
    this.loop = loop;
    this.runner = new PolicyRunner(loop, policy, this::executeCommand);
    this.engines = engines;
    this.peers = peers;
  }

  /** Submits a request. Its sink receives exactly one final event unless the caller disconnects. */
  public void submit(GenerationExchange exchange) {
    exchanges.put(exchange.id(), exchange);
    post(new RoutingEvent.RequestArrived(exchange.request()));
  }

  /** Reports that the caller of a request has disconnected; closes the sink of the request. */
  public void callerDisconnected(GenerationExchange exchange) {
    exchange.sink().closeSilently();
    exchanges.remove(exchange.id());
    post(new RoutingEvent.CallerDisconnected(exchange.id()));
  }

  /** Passes an event to the policy, without waiting for it to be handled. */
  public void post(RoutingEvent event) {
    loop.execute(() -> runner.handle(event));
  }

  /** Returns the number of requests in progress. */
  public int requestsInProgress() {
    return exchanges.size();
  }

  /** Returns the ids of the requests in progress, sorted. */
  public List<RequestId> requestIds() {
    return exchanges.keySet().stream().sorted().toList();
  }

  /** Returns the log of decisions about recent requests. */
  public ExplainLog explanations() {
    return explanations;
  }

  private void executeCommand(RoutingCommand command) {
    switch (command) {
      case RoutingCommand.ReserveEngine c ->
          throw new IllegalStateException("this node cannot reserve engines: " + c);
      case RoutingCommand.StartPrefill c ->
          find(c.attempt().request())
              .ifPresentOrElse(
                  e -> engines.startPrefill(e, c.attempt(), c.upstream()),
                  // The caller disconnected, so the exchange is removed; ends the request.
                  () -> post(new RoutingEvent.CallerDisconnected(c.attempt().request())));
      case RoutingCommand.StartDecode c ->
          find(c.attempt().request())
              .ifPresentOrElse(
                  e -> engines.startDecode(e, c.attempt(), c.upstream(), c.handle()),
                  () -> post(new RoutingEvent.CallerDisconnected(c.attempt().request())));
      case RoutingCommand.CancelAttempt c -> engines.cancel(c.attempt(), c.upstream());
      case RoutingCommand.CancelOrphanedAttempt c ->
          engines.cancelOrphaned(c.attempt(), c.upstream());
      case RoutingCommand.ReleaseKv c -> engines.releaseKv(c.handle());
      case RoutingCommand.SendPeerMessage c -> peers.send(c.to(), c.message());
      case RoutingCommand.Refuse c ->
          removeExchange(c.request())
              .ifPresent(e -> e.sink().fail(c.code(), c.detail(), c.retryAfter()));
      case RoutingCommand.Complete c ->
          removeExchange(c.request()).ifPresent(e -> e.sink().complete());
      case RoutingCommand.DecideApplicationRun c ->
          throw new IllegalStateException("no application request asked for a decision: " + c);
      case RoutingCommand.DecideApplicationStart c ->
          throw new IllegalStateException("no application request asked for a decision: " + c);
      case RoutingCommand.DecideSpend c ->
          throw new IllegalStateException("no request is paid for through the router: " + c);
      case RoutingCommand.SetTimer c ->
          throw new IllegalStateException("timer commands are handled by the policy runner: " + c);
      case RoutingCommand.CancelTimer c ->
          throw new IllegalStateException("timer commands are handled by the policy runner: " + c);
      case RoutingCommand.Explain c ->
          explanations.add(c.request(), new ExplainLog.Entry(loop.nanos(), c.rule(), c.detail()));
    }
  }

  private Optional<GenerationExchange> find(RequestId request) {
    return Optional.ofNullable(exchanges.get(request));
  }

  private Optional<GenerationExchange> removeExchange(RequestId request) {
    return Optional.ofNullable(exchanges.remove(request));
  }
}
