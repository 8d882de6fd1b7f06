package org.mustardlatch.daemon.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.routing.RoutingPolicy;
import org.mustardlatch.core.routing.TimerKey;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.daemon.node.EventLoop;

/**
 * Runs the routing policy on the event loop, one event at a time, and carries out its commands in
 * order before the next event.
 */
public final class RoutingService {
  private final EventLoop loop;
  private final RoutingPolicy policy;
  private final EngineCommands engines;
  private final PeerSender peers;
  private final ExplainLog explanations = new ExplainLog();
  private final Map<RequestId, Exchange> exchanges = new ConcurrentHashMap<>();
  private final Map<TimerKey, TimerSubscription> timers = new HashMap<>();

  /** Creates a service; events may be posted at once. */
  public RoutingService(
      EventLoop loop, RoutingPolicy policy, EngineCommands engines, PeerSender peers) {
    this.loop = loop;
    this.policy = policy;
    this.engines = engines;
    this.peers = peers;
  }

  /** Takes a request; its sink gets exactly one end. */
  public void submit(Exchange exchange) {
    exchanges.put(exchange.id(), exchange);
    post(new RoutingEvent.RequestArrived(exchange.request()));
  }

  /** Reports that the caller of a request is gone; its sink accepts nothing more. */
  public void callerGone(Exchange exchange) {
    exchange.sink().abandon();
    exchanges.remove(exchange.id());
    post(new RoutingEvent.CallerGone(exchange.id()));
  }

  /** Passes an event to the policy; returns at once. */
  public void post(RoutingEvent event) {
    loop.execute(() -> handle(event));
  }

  /** Returns the number of requests in progress. */
  public int inProgress() {
    return exchanges.size();
  }

  /** Returns the ids of the requests in progress. */
  public List<RequestId> requests() {
    return exchanges.keySet().stream().sorted().toList();
  }

  /** Returns the decisions about recent requests. */
  public ExplainLog explanations() {
    return explanations;
  }

  private void handle(RoutingEvent event) {
    List<RoutingCommand> commands = new ArrayList<>();
    policy.handle(event, loop.nanos(), commands::add);
    commands.forEach(this::carryOut);
  }

  private void carryOut(RoutingCommand command) {
    switch (command) {
      case RoutingCommand.StartPrefill c ->
          find(c.attempt().request())
              .ifPresentOrElse(
                  e -> engines.startPrefill(e, c.attempt(), c.upstream()),
                  () -> post(new RoutingEvent.CallerGone(c.attempt().request())));
      case RoutingCommand.StartDecode c ->
          find(c.attempt().request())
              .ifPresentOrElse(
                  e -> engines.startDecode(e, c.attempt(), c.upstream(), c.handle()),
                  () -> post(new RoutingEvent.CallerGone(c.attempt().request())));
      case RoutingCommand.CancelAttempt c -> engines.cancel(c.attempt(), c.upstream());
      case RoutingCommand.CancelHeld c -> engines.cancelHeld(c.held(), c.upstream());
      case RoutingCommand.ReleaseKv c -> engines.releaseKv(c.handle());
      case RoutingCommand.SendPeer c -> peers.send(c.to(), c.message());
      case RoutingCommand.Refuse c ->
          end(c.request()).ifPresent(e -> e.sink().fail(c.code(), c.detail(), c.retryAfter()));
      case RoutingCommand.Complete c -> end(c.request()).ifPresent(e -> e.sink().complete());
      case RoutingCommand.SetTimer c -> setTimer(c);
      case RoutingCommand.CancelTimer c -> cancelTimer(c.key());
      case RoutingCommand.Explain c ->
          explanations.add(c.request(), new ExplainLog.Entry(loop.nanos(), c.rule(), c.detail()));
    }
  }

  private Optional<Exchange> find(RequestId request) {
    return Optional.ofNullable(exchanges.get(request));
  }

  private Optional<Exchange> end(RequestId request) {
    return Optional.ofNullable(exchanges.remove(request));
  }

  private void setTimer(RoutingCommand.SetTimer command) {
    cancelTimer(command.key());
    Duration delay = Duration.ofNanos(command.atNanos() - loop.nanos());
    timers.put(command.key(), loop.schedule(delay, () -> fire(command.key())));
  }

  private void cancelTimer(TimerKey key) {
    TimerSubscription timer = timers.remove(key);
    if (timer != null) {
      timer.cancel();
    }
  }

  private void fire(TimerKey key) {
    timers.remove(key);
    handle(new RoutingEvent.TimerFired(key));
  }
}
