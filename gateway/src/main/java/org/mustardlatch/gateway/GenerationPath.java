package org.mustardlatch.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.routing.GenerationRequest;
import org.mustardlatch.core.routing.NodeRouter;
import org.mustardlatch.core.routing.PolicyRunner;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.http.CallerExchange;
import org.mustardlatch.gateway.http.UpstreamAnswer;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/** Streams of model engines: carries out what the routing decisions want. */
final class GenerationPath {
  /** Requests that can still have their first token in time. */
  static final WorkspaceId IN_TIME = new WorkspaceId("in-time");

  /** Requests that are late already; they are served from spare capacity. */
  static final WorkspaceId LATE = new WorkspaceId("late");

  // Predictions are uncertain; a request that may be a little late is tried rather than refused.
  private static final double PREDICTION_SLACK = 0.25;

  // Less time than this is not enough for a prefill and a transfer.
  private static final long MIN_FIRST_TOKEN_NANOS = 150_000_000;

  // A request that is late already waits this many targets for spare capacity, and is refused then.
  private static final double LATE_WAIT_TARGETS = 2;
  private static final double MEMORY_SHARE_OF_ANSWER = 0.5;
  // Callers' hints are often far off, so they are drawn towards the usual length.
  private static final double HINT_WEIGHT = 0.66;
  private static final double NEWEST_WEIGHT = 0.05;
  private static final int SUCCESS = 200;

  private final Fleet fleet;
  private final TimerService timers;
  private final GatewaySettings settings;
  private final RandomGenerator random;
  private final Peers peers;
  private final Executor later;
  private final GatewayMetrics metrics;
  private final PolicyRunner runner;
  private final NodeRouter router;
  private final Map<RequestId, GenerationStream> streams = new HashMap<>();
  private final Map<CallerExchange, GenerationStream> byCaller = new HashMap<>();
  private final EngineCalls engines;
  private double usualHint;
  private long manifestRevision;

  GenerationPath(
      Fleet fleet,
      TimerService timers,
      GatewaySettings settings,
      UpstreamProtocol protocol,
      RandomGenerator random,
      Peers peers,
      long incarnation,
      Executor later,
      GatewayMetrics metrics) {
    this.metrics = metrics;
    this.peers = peers;
    this.fleet = fleet;
    this.timers = timers;
    this.settings = settings;
    this.random = random;
    this.later = later;
    this.router = new NodeRouter(settings.host(), settings.region(), incarnation, random);
    this.engines = new EngineCalls(fleet, timers, protocol, metrics, this::post);
    this.runner = new PolicyRunner(timers, router, this::carryOut);
  }

  /** Joins the peers. */
  void start() {
    peers.start(runner::handle);
  }

  int open() {
    return streams.size();
  }

  /** Tells the decisions which engines there are. */
  void fleetChanged() {
    var manifest = FleetManifest.of(fleet, settings);
    if (manifest != null) {
      manifestRevision++;
      runner.handle(new RoutingEvent.ManifestApplied(manifestRevision, manifest));
    }
  }

  void start(Exchange exchange) {
    CallerRequest r = exchange.request();
    long received = exchange.caller().receivedNanos();
    long target = exchange.route().latencyTarget().toNanos();
    long inTime = received + target - exchange.waitedNanos();
    boolean late = inTime - timers.nanos() < MIN_FIRST_TOKEN_NANOS;
    long firstToken =
        late
            ? timers.nanos() + (long) (LATE_WAIT_TARGETS * target)
            : inTime + (long) (PREDICTION_SLACK * target);
    GenerationRequest request =
        new GenerationRequest(
            new RequestId(exchange.name()),
            late ? LATE : IN_TIME,
            new ModelId(FleetManifest.modelName(exchange.service().name())),
            Math.max(1, r.promptTokens()),
            Math.max(1, r.maxOutputTokens()),
            exchange.caller().body().length,
            FleetManifest.blocks(r.promptParts()),
            new Fingerprint(FleetManifest.fingerprint(exchange)),
            Math.min(exchange.endNanos(), firstToken),
            exchange.endNanos(),
            exchange.route().repeatable(),
            exchange.route().maxAttempts(),
            plannedOutput(r));
    EventLog.log(
        LogEvent.GENERATION_ARRIVED,
        exchange.callerId(),
        exchange.name(),
        exchange.route().name(),
        r.promptTokens(),
        r.maxOutputTokens(),
        r.lengthHint(),
        late,
        exchange.waitedNanos() / 1_000_000);
    GenerationStream s = new GenerationStream(exchange);
    streams.put(request.id(), s);
    byCaller.put(exchange.caller(), s);
    runner.handle(new RoutingEvent.RequestArrived(request));
  }

  /**
   * Returns the tokens of an answer to plan memory for. Answers grow while they are made, so on
   * average half of each is in memory.
   */
  private int plannedOutput(CallerRequest r) {
    if (r.lengthHint() <= 0) {
      return Math.max(1, r.maxOutputTokens());
    }
    double usual = usualHint == 0 ? r.lengthHint() : usualHint;
    usualHint = usual + NEWEST_WEIGHT * (r.lengthHint() - usual);
    double expected = HINT_WEIGHT * r.lengthHint() + (1 - HINT_WEIGHT) * usual;
    return (int) Math.clamp(expected * MEMORY_SHARE_OF_ANSWER, 1, Math.max(1, r.maxOutputTokens()));
  }

  /** Returns whether the exchange was one of this path. */
  boolean left(CallerExchange caller) {
    GenerationStream s = byCaller.get(caller);
    if (s == null) {
      return false;
    }
    s.exchange.log("caller_left", null, 0);
    forget(s);
    runner.handle(new RoutingEvent.CallerDisconnected(s.id));
    return true;
  }

  private void forget(GenerationStream s) {
    streams.remove(s.id);
    byCaller.remove(s.exchange.caller());
  }

  /** Decisions are told of results after the event in progress. */
  private void post(RoutingEvent event) {
    later.execute(() -> runner.handle(event));
  }

  private void carryOut(RoutingCommand command) {
    switch (command) {
      case RoutingCommand.ReserveEngine c -> with(c.attempt(), s -> engines.reserve(s, c));
      case RoutingCommand.StartPrefill c -> with(c.attempt(), s -> engines.startPrefill(s, c));
      case RoutingCommand.StartDecode c -> with(c.attempt(), s -> engines.startDecode(s, c));
      case RoutingCommand.CancelAttempt c -> engines.cancel(c.attempt());
      case RoutingCommand.ReleaseKv c -> engines.release(c.handle());
      case RoutingCommand.Refuse c -> refuse(c);
      case RoutingCommand.Complete c -> complete(c.request());
      case RoutingCommand.Explain c -> explain(c);
      case RoutingCommand.SendPeerMessage c -> peers.send(c.to(), c.message());
      case RoutingCommand.CancelOrphanedAttempt c -> {
        // Engines drop what they hold when the connection of its node closes.
      }
      case RoutingCommand.SetTimer c -> throw new IllegalStateException("kept by the runner: " + c);
      case RoutingCommand.CancelTimer c ->
          throw new IllegalStateException("kept by the runner: " + c);
    }
  }

  private void explain(RoutingCommand.Explain c) {
    GenerationStream s = streams.get(c.request());
    String caller = s == null ? "-" : s.exchange.callerId();
    metrics.decision(c.rule());
    EventLog.log(LogEvent.DECISION, caller, c.request(), c.rule(), c.detail());
  }

  private void with(AttemptId attempt, Consumer<GenerationStream> action) {
    GenerationStream s = streams.get(attempt.request());
    if (s != null) {
      action.accept(s);
    }
  }

  private void refuse(RoutingCommand.Refuse c) {
    GenerationStream s = streams.get(c.request());
    if (s == null) {
      return;
    }
    forget(s);
    UpstreamAnswer failed = s.failed;
    if (failed != null && !s.exchange.caller().started()) {
      s.exchange.deliver(failed, "last_server_error");
    } else {
      Duration retry = c.retryAfter();
      s.exchange.fail(
          c.code(),
          c.detail(),
          retry.isZero() ? retry : Budgets.comeBack(s.exchange, timers.nanos(), random));
    }
  }

  private void complete(RequestId id) {
    GenerationStream s = streams.get(id);
    if (s != null) {
      forget(s);
      s.logTimes();
      metrics.longestPause(s.times.longestPauseNanos());
      s.exchange.log("completed", null, SUCCESS);
      s.exchange.caller().end();
    }
  }
}
