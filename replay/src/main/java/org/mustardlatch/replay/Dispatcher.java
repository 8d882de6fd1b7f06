package org.mustardlatch.replay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;

/** Carries out the commands of nodes on the fakes, and brings events back to them. */
final class Dispatcher {
  /** Size of a command, an acknowledgement or a peer message. */
  private static final int MESSAGE_BYTES = 100;

  /** A server-sent event with one token. */
  private static final int TOKEN_BYTES = 200;

  /** Time after which a node notices that the connection to another region is gone. */
  private static final Duration SILENCE = Duration.ofSeconds(2);

  private final Manifest manifest;
  private final TimerService timers;
  private final Network network;
  private final Map<UpstreamId, FakeEngine> engines;
  private final Map<String, Integer> rules = new TreeMap<>();

  Dispatcher(
      Manifest manifest,
      TimerService timers,
      Network network,
      Map<UpstreamId, FakeEngine> engines) {
    this.manifest = manifest;
    this.timers = timers;
    this.network = network;
    this.engines = engines;
  }

  /** How often each rule was named by an explanation. */
  Map<String, Integer> rules() {
    return rules;
  }

  void execute(ReplayNode node, RoutingCommand command, Callers callers, Fleet fleet) {
    switch (command) {
      case RoutingCommand.ReserveEngine c ->
          throw new IllegalStateException("the engines of a replay are not reservable: " + c);
      case RoutingCommand.StartPrefill c -> startPrefill(node, c, callers);
      case RoutingCommand.StartDecode c -> startDecode(node, c, callers);
      case RoutingCommand.CancelAttempt c ->
          send(node, engine(c.upstream()), e -> e.cancel(c.attempt()));
      case RoutingCommand.CancelOrphanedAttempt c ->
          send(node, engine(c.upstream()), e -> e.cancelHeld(c.attempt()));
      case RoutingCommand.ReleaseKv c ->
          send(node, engine(c.handle().source()), e -> e.prefill().release(c.handle().reference()));
      case RoutingCommand.SendPeerMessage c -> {
        RoutingEvent event =
            new RoutingEvent.PeerMessageReceived(node.member().host(), c.message());
        RegionId to = fleet.node(c.to()).member().region();
        network.send(
            node.member().region(), to, MESSAGE_BYTES, () -> fleet.node(c.to()).handle(event));
      }
      case RoutingCommand.Refuse c -> callers.refuse(c);
      case RoutingCommand.Complete c -> callers.complete(c.request());
      case RoutingCommand.Explain c -> rules.merge(c.rule(), 1, Integer::sum);
      case RoutingCommand.DecideApplicationRun c ->
          throw new IllegalArgumentException("application request " + c.request());
      case RoutingCommand.DecideApplicationStart c ->
          throw new IllegalArgumentException("application request " + c.request());
      case RoutingCommand.DecideSpend c ->
          throw new IllegalArgumentException("paid request " + c.request());
      case RoutingCommand.SetTimer c -> throw new IllegalArgumentException("timer " + c.key());
      case RoutingCommand.CancelTimer c -> throw new IllegalArgumentException("timer " + c.key());
    }
  }

  /** Breaks what nodes hold on engines of the other region. */
  void splitRegions(Fleet fleet) {
    for (FakeEngine engine : engines.values()) {
      for (EngineWork w : List.copyOf(engine.prefill().held())) {
        breakOff(fleet, engine, w, new RoutingEvent.PrefillFailed(w.attempt(), Failure.STALLED));
      }
      for (EngineWork w : List.copyOf(engine.decode().held())) {
        breakOff(fleet, engine, w, new RoutingEvent.DecodeFailed(w.attempt(), Failure.STALLED));
      }
    }
  }

  private void breakOff(Fleet fleet, FakeEngine engine, EngineWork w, RoutingEvent event) {
    ReplayNode owner = fleet.node(w.owner());
    if (!owner.member().region().equals(region(engine))) {
      engine.cancel(w.attempt());
      timers.schedule(SILENCE, () -> owner.handle(event));
    }
  }

  private void startPrefill(ReplayNode node, RoutingCommand.StartPrefill c, Callers callers) {
    FakeEngine engine = engine(c.upstream());
    Try t = callers.find(c.attempt().request());
    RoutingEvent unreachable = new RoutingEvent.PrefillFailed(c.attempt(), Failure.DISCONNECTED);
    if (isUnreachable(node, engine, unreachable)) {
      return;
    }
    EngineWork work = work(node, engine, c.attempt(), t, t.tokens());
    network.sendPrompt(
        node.member().region(),
        region(engine),
        t.request().promptBytes(),
        () -> engine.startPrefill(work));
  }

  private void startDecode(ReplayNode node, RoutingCommand.StartDecode c, Callers callers) {
    FakeEngine engine = engine(c.upstream());
    FakeEngine source = engine(c.handle().source());
    Try t = callers.find(c.attempt().request());
    t.setCurrent(c.attempt(), c.handle().reference());
    RoutingEvent unreachable = new RoutingEvent.DecodeFailed(c.attempt(), Failure.DISCONNECTED);
    if (isUnreachable(node, engine, unreachable)) {
      return;
    }
    EngineWork work = work(node, engine, c.attempt(), t, c.resumeFrom());
    FakeLink link = network.between(region(source), region(engine));
    send(node, engine, e -> e.startDecode(work, c.handle(), c.resumeFrom(), source, link));
  }

  private EngineWork work(
      ReplayNode node, FakeEngine engine, AttemptId attempt, Try t, int resumed) {
    Consumer<RoutingEvent> reply =
        event -> {
          int bytes = event instanceof RoutingEvent.TokensArrived ? TOKEN_BYTES : MESSAGE_BYTES;
          network.send(
              region(engine), node.member().region(), bytes, () -> deliver(node, t, event));
        };
    return new EngineWork(
        attempt,
        node.member().host(),
        node.member().incarnation(),
        t.request(),
        t.request().promptTokens() + resumed,
        t.arrival().outputTokens(),
        reply);
  }

  private void deliver(ReplayNode node, Try t, RoutingEvent event) {
    if (event instanceof RoutingEvent.TokensArrived a) {
      t.receive(a.attempt(), a.count(), timers.nanos());
    }
    node.handle(event);
  }

  private boolean isUnreachable(ReplayNode node, FakeEngine engine, RoutingEvent failed) {
    boolean unreachable = !network.reachable(node.member().region(), region(engine));
    if (unreachable) {
      timers.schedule(SILENCE, () -> node.handle(failed));
    }
    return unreachable;
  }

  private void send(ReplayNode node, FakeEngine engine, Consumer<FakeEngine> task) {
    network.send(node.member().region(), region(engine), MESSAGE_BYTES, () -> task.accept(engine));
  }

  private FakeEngine engine(UpstreamId id) {
    FakeEngine e = engines.get(id);
    if (e == null) {
      throw new IllegalStateException("a command names engine " + id + ", which does not exist");
    }
    return e;
  }

  private RegionId region(FakeEngine engine) {
    return manifest.regionOf(engine.upstream().zone()).orElseThrow();
  }
}
