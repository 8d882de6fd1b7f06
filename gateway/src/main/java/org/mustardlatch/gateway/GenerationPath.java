package org.mustardlatch.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.GenerationRequest;
import org.mustardlatch.core.routing.KvHandle;
import org.mustardlatch.core.routing.NodeRouter;
import org.mustardlatch.core.routing.PolicyRunner;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.config.EngineStage;
import org.mustardlatch.gateway.config.EngineTraits;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.http.Call;
import org.mustardlatch.gateway.http.CallFailure;
import org.mustardlatch.gateway.http.CallListener;
import org.mustardlatch.gateway.http.CallRequest;
import org.mustardlatch.gateway.http.CallerExchange;
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
  private static final double LATE_WAIT_TARGETS = 1.2;
  // The engine's clock for an exported KV cache starts before its answer has arrived here.
  private static final Duration HANDLE_MARGIN = Duration.ofMillis(50);
  // Covers a prefill at the crest; room that is kept for nobody is lost to others.
  private static final Duration RESERVATION_LIFE = Duration.ofMillis(1_200);
  private static final Duration OWN_PROMPT_LIFE = Duration.ofDays(1);
  private static final double MEMORY_SHARE_OF_ANSWER = 0.5;
  // Callers' hints are often far off, so they are drawn towards the usual length.
  private static final double HINT_WEIGHT = 0.66;
  private static final double NEWEST_WEIGHT = 0.05;
  private static final int SUCCESS = 200;

  private final Fleet fleet;
  private final TimerService timers;
  private final UpstreamProtocol protocol;
  private final GatewaySettings settings;
  private final RandomGenerator random;
  private final Peers peers;
  private final Executor later;
  private final PolicyRunner runner;
  private final NodeRouter router;
  private final Map<RequestId, Stream> streams = new HashMap<>();
  private final Map<CallerExchange, Stream> byCaller = new HashMap<>();
  private final Map<AttemptId, Call> calls = new HashMap<>();
  private final Map<AttemptId, Reserved> reserved = new HashMap<>();
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
      Executor later) {
    this.peers = peers;
    this.fleet = fleet;
    this.timers = timers;
    this.settings = settings;
    this.protocol = protocol;
    this.random = random;
    this.later = later;
    this.router = new NodeRouter(settings.host(), settings.region(), incarnation, random);
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
    Stream s = new Stream(exchange);
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
    Stream s = byCaller.get(caller);
    if (s == null) {
      return false;
    }
    s.exchange.log("caller_left", null, 0);
    forget(s);
    runner.handle(new RoutingEvent.CallerGone(s.id));
    return true;
  }

  private void forget(Stream s) {
    streams.remove(s.id);
    byCaller.remove(s.exchange.caller());
  }

  /** Decisions are told of results after the event in progress. */
  private void post(RoutingEvent event) {
    later.execute(() -> runner.handle(event));
  }

  private void carryOut(RoutingCommand command) {
    switch (command) {
      case RoutingCommand.ReserveEngine c -> reserve(c);
      case RoutingCommand.StartPrefill c -> startPrefill(c);
      case RoutingCommand.StartDecode c -> startDecode(c);
      case RoutingCommand.CancelAttempt c -> cancel(c.attempt());
      case RoutingCommand.ReleaseKv c -> release(c.handle());
      case RoutingCommand.Refuse c -> refuse(c);
      case RoutingCommand.Complete c -> complete(c.request());
      case RoutingCommand.Explain c -> explain(c);
      case RoutingCommand.SendPeer c -> peers.send(c.to(), c.message());
      case RoutingCommand.CancelHeld c -> {
        // Engines drop what they hold when the connection of its node closes.
      }
      case RoutingCommand.SetTimer c -> throw new IllegalStateException("kept by the runner: " + c);
      case RoutingCommand.CancelTimer c ->
          throw new IllegalStateException("kept by the runner: " + c);
    }
  }

  private void explain(RoutingCommand.Explain c) {
    Stream s = streams.get(c.request());
    String caller = s == null ? "-" : s.exchange.callerId();
    EventLog.log(LogEvent.DECISION, caller, c.request(), c.rule(), c.detail());
  }

  private void reserve(RoutingCommand.ReserveEngine c) {
    Stream s = streams.get(c.attempt().request());
    Instance target = fleet.instance(c.upstream().value());
    if (s == null || target == null) {
      post(new RoutingEvent.EngineNotReserved(c.attempt(), Failure.REFUSED));
      return;
    }
    EngineTraits engine = s.exchange.service().engine();
    Duration longest = engine == null ? Duration.ZERO : engine.longestReservation();
    Duration life = longest.compareTo(RESERVATION_LIFE) < 0 ? longest : RESERVATION_LIFE;
    call(
        c.attempt(),
        target,
        protocol.reserve(target, c.tokens(), life),
        new ReservationAnswer(c.attempt(), s, target));
  }

  /** Gives back the room that an engine keeps for an attempt that will not come. */
  private void dropReservation(AttemptId attempt) {
    Reserved r = reserved.remove(attempt);
    if (r != null) {
      var request =
          new CallRequest(
              protocol.dropReservation(r.engine, r.name), new byte[0], true, answer -> true);
      fleet.pool(r.engine).send(request, new ReleaseAnswer(r.name, r.engine.id()));
    }
  }

  private void startPrefill(RoutingCommand.StartPrefill c) {
    Stream s = streams.get(c.attempt().request());
    Instance target = fleet.instance(c.upstream().value());
    if (s == null) {
      return;
    }
    if (target == null) {
      post(new RoutingEvent.PrefillFailed(c.attempt(), Failure.REFUSED));
    } else if (target.stage() == EngineStage.DECODE) {
      // It processes the prompt as a part of the decode call.
      long expires = timers.nanos() + OWN_PROMPT_LIFE.toNanos();
      post(
          new RoutingEvent.PrefillFinished(
              c.attempt(), new KvHandle(c.upstream(), "own", 0, expires)));
    } else {
      var plan = s.plan(target, UpstreamCallPlan.PREFILL, null);
      s.logSent(target, "prefill", c.attempt());
      call(c.attempt(), target, s.exchange.call(plan), new PrefillAnswer(c.attempt(), s, target));
    }
  }

  private void startDecode(RoutingCommand.StartDecode c) {
    Stream s = streams.get(c.attempt().request());
    Instance target = fleet.instance(c.upstream().value());
    Instance source = fleet.instance(c.handle().source().value());
    if (s == null) {
      return;
    }
    if (target == null || source == null) {
      post(new RoutingEvent.DecodeFailed(c.attempt(), Failure.REFUSED));
      return;
    }
    boolean own = source.id().equals(target.id());
    UpstreamCallPlan.Work work =
        own
            ? UpstreamCallPlan.WHOLE
            : new UpstreamCallPlan.Work.Decode(source, c.handle().reference());
    s.logSent(target, own ? "whole" : "decode", c.attempt());
    Reserved room = reserved.remove(c.attempt());
    String reservation = room != null && room.engine.id().equals(target.id()) ? room.name : null;
    CallRequest request = s.exchange.call(s.plan(target, work, reservation));
    call(c.attempt(), target, request, new DecodeAnswer(c.attempt(), s));
  }

  private void call(AttemptId attempt, Instance target, CallRequest request, CallListener l) {
    Call call = fleet.pool(target).send(request, l);
    calls.put(attempt, call);
  }

  private void cancel(AttemptId attempt) {
    dropReservation(attempt);
    Call call = calls.remove(attempt);
    if (call != null) {
      call.cancel();
    }
  }

  private void release(KvHandle handle) {
    Instance source = fleet.instance(handle.source().value());
    if (source == null || source.stage() != EngineStage.PREFILL) {
      return;
    }
    var kv = new UpstreamCallPlan.Work.Decode(source, handle.reference());
    var request = new CallRequest(protocol.release(kv), new byte[0], true, r -> true);
    fleet.pool(source).send(request, new ReleaseAnswer(handle.reference(), source.id()));
  }

  private void refuse(RoutingCommand.Refuse c) {
    Stream s = streams.get(c.request());
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
    Stream s = streams.get(id);
    if (s != null) {
      forget(s);
      s.exchange.log("completed", null, SUCCESS);
      s.exchange.caller().end();
    }
  }

  /** A generation request in progress. */
  private static final class Stream {
    private final Exchange exchange;
    private final RequestId id;
    private final EventStream events = new EventStream();
    private @Nullable UpstreamAnswer failed;

    Stream(Exchange exchange) {
      this.exchange = exchange;
      this.id = new RequestId(exchange.name());
    }

    UpstreamCallPlan plan(
        Instance target, UpstreamCallPlan.Work work, @Nullable String reservation) {
      long left = (exchange.endNanos() - System.nanoTime()) / 1_000_000;
      return new UpstreamCallPlan(target, Math.max(1, left), work, events.lastId(), reservation);
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

  private record Reserved(Instance engine, String name) {}

  /** Hears whether an engine keeps room for an attempt. */
  private final class ReservationAnswer implements CallListener {
    private final AttemptId attempt;
    private final Stream stream;
    private final Instance engine;
    private @Nullable UpstreamAnswer answer;

    ReservationAnswer(AttemptId attempt, Stream stream, Instance engine) {
      this.attempt = attempt;
      this.stream = stream;
      this.engine = engine;
    }

    @Override
    public void head(HttpResponse h) {
      answer = new UpstreamAnswer(h);
    }

    @Override
    public void body(ByteBuf part) {
      if (answer != null) {
        answer.add(part);
      }
    }

    @Override
    public void end() {
      calls.remove(attempt);
      UpstreamAnswer a = answer;
      if (a == null || a.status() != SUCCESS) {
        refused("status " + (a == null ? 0 : a.status()), Failure.REFUSED);
        return;
      }
      try {
        reserved.put(attempt, new Reserved(engine, protocol.readReservation(a.body())));
        post(new RoutingEvent.EngineReserved(attempt));
      } catch (IllegalArgumentException e) {
        refused("unreadable: " + e.getMessage(), Failure.REFUSED);
      }
    }

    @Override
    public void failed(CallFailure failure, String reason) {
      calls.remove(attempt);
      refused(failure + " " + reason, Failure.DISCONNECTED);
    }

    private void refused(String reason, Failure failure) {
      EventLog.log(
          LogEvent.CALL_FAILED,
          stream.exchange.callerId(),
          attempt,
          engine.id(),
          "reserve",
          reason);
      post(new RoutingEvent.EngineNotReserved(attempt, failure));
    }
  }

  /** Collects the answer to a prefill. */
  private final class PrefillAnswer implements CallListener {
    private final AttemptId attempt;
    private final Stream stream;
    private final Instance source;
    private final long sentNanos = timers.nanos();
    private @Nullable UpstreamAnswer answer;

    PrefillAnswer(AttemptId attempt, Stream stream, Instance source) {
      this.attempt = attempt;
      this.stream = stream;
      this.source = source;
    }

    @Override
    public void head(HttpResponse h) {
      answer = new UpstreamAnswer(h);
    }

    @Override
    public void body(ByteBuf part) {
      if (answer != null) {
        answer.add(part);
      }
    }

    @Override
    public void end() {
      calls.remove(attempt);
      UpstreamAnswer a = answer;
      if (a == null || a.status() != SUCCESS) {
        boolean notRun = a != null && protocol.read(a.head()).notRun();
        int status = a == null ? 0 : a.status();
        logFailed("prefill status " + status);
        dropReservation(attempt);
        post(
            new RoutingEvent.PrefillFailed(
                attempt, notRun ? Failure.REFUSED : Failure.DISCONNECTED));
        return;
      }
      try {
        post(new RoutingEvent.PrefillFinished(attempt, handle(protocol.readExport(a.body()))));
      } catch (IllegalArgumentException e) {
        logFailed("unreadable export: " + e.getMessage());
        dropReservation(attempt);
        post(new RoutingEvent.PrefillFailed(attempt, Failure.DISCONNECTED));
      }
    }

    private KvHandle handle(ExportedKv kv) {
      EngineTraits engine = stream.exchange.service().engine();
      Duration life = engine == null ? Duration.ZERO : engine.handleLife();
      long bytes = engine == null ? 0 : engine.kvBytesPerToken() * kv.tokens();
      long expires = timers.nanos() + life.minus(HANDLE_MARGIN).toNanos();
      EventLog.log(
          LogEvent.PREFILL_DONE,
          stream.exchange.callerId(),
          attempt,
          source.id(),
          kv.tokens(),
          (timers.nanos() - sentNanos) / 1_000_000);
      return new KvHandle(new UpstreamId(source.id()), kv.reference(), bytes, expires);
    }

    @Override
    public void failed(CallFailure failure, String reason) {
      calls.remove(attempt);
      logFailed(failure + " " + reason);
      dropReservation(attempt);
      post(new RoutingEvent.PrefillFailed(attempt, Failure.DISCONNECTED));
    }

    private void logFailed(String reason) {
      EventLog.log(
          LogEvent.CALL_FAILED,
          stream.exchange.callerId(),
          attempt,
          source.id(),
          "prefill",
          reason);
    }
  }

  /** Passes a stream on to its caller. */
  private final class DecodeAnswer implements CallListener {
    private final AttemptId attempt;
    private final Stream stream;
    private @Nullable UpstreamAnswer answer;
    private boolean started;

    DecodeAnswer(AttemptId attempt, Stream stream) {
      this.attempt = attempt;
      this.stream = stream;
    }

    @Override
    public void sent() {
      stream.exchange.sent();
    }

    @Override
    public void head(HttpResponse h) {
      answer = new UpstreamAnswer(h);
    }

    /** Returns whether this is the stream; a success without an upstream's mark is a fragment. */
    private boolean succeeds(UpstreamAnswer a) {
      return a.succeeded() && protocol.read(a.head()).genuine();
    }

    @Override
    public void body(ByteBuf part) {
      UpstreamAnswer a = answer;
      if (a == null) {
        return;
      }
      if (!succeeds(a)) {
        a.add(part);
        return;
      }
      if (!started) {
        started = true;
        post(new RoutingEvent.DecodeStarted(attempt));
      }
      int before = stream.events.events();
      pass(a, stream.events.add(part));
      int count = stream.events.events() - before;
      if (count > 0) {
        post(new RoutingEvent.TokensArrived(attempt, count));
      }
    }

    private void pass(UpstreamAnswer a, ByteBuf events) {
      CallerExchange caller = stream.exchange.caller();
      if (events.isReadable()) {
        begin(a);
        caller.part(events);
      }
    }

    private void begin(UpstreamAnswer a) {
      CallerExchange caller = stream.exchange.caller();
      if (!caller.started()) {
        caller.begin(a.head().status(), a.head().headers());
      }
      caller.onWritabilityChange(this::follow);
    }

    /** Reads from the engine only while the caller takes what comes. */
    private void follow() {
      Call call = calls.get(attempt);
      if (call != null) {
        call.setReading(stream.exchange.caller().writable());
      }
    }

    @Override
    public void end() {
      calls.remove(attempt);
      UpstreamAnswer a = answer;
      if (a == null) {
        return;
      }
      if (succeeds(a)) {
        pass(a, Unpooled.wrappedBuffer(stream.events.rest()));
        begin(a);
        post(new RoutingEvent.DecodeFinished(attempt));
      } else if (protocol.read(a.head()).notRun()) {
        stream.exchange.notRun();
        logFailed("refused with " + a.status());
        post(new RoutingEvent.DecodeFailed(attempt, Failure.REFUSED));
      } else {
        logFailed("status " + a.status());
        // A success without the mark of an upstream is no answer that a caller may get.
        stream.failed = a.succeeded() ? null : a;
        post(new RoutingEvent.DecodeFailed(attempt, Failure.DISCONNECTED));
      }
    }

    @Override
    public void failed(CallFailure failure, String reason) {
      calls.remove(attempt);
      stream.events.dropPartial();
      logFailed(failure + " " + reason);
      boolean notSent = failure == CallFailure.NOT_SENT;
      post(
          new RoutingEvent.DecodeFailed(attempt, notSent ? Failure.REFUSED : Failure.DISCONNECTED));
    }

    private void logFailed(String reason) {
      EventLog.log(
          LogEvent.CALL_FAILED, stream.exchange.callerId(), attempt, "-", "decode", reason);
    }
  }

  /** Takes note when a KV cache could not be freed; it expires by itself. */
  private static final class ReleaseAnswer implements CallListener {
    private final String name;
    private final String engine;

    ReleaseAnswer(String name, String engine) {
      this.name = name;
      this.engine = engine;
    }

    @Override
    public void head(HttpResponse head) {}

    @Override
    public void body(ByteBuf part) {}

    @Override
    public void end() {}

    @Override
    public void failed(CallFailure failure, String reason) {
      EventLog.log(LogEvent.KV_NOT_FREED, name, engine, reason);
    }
  }

  List<RequestId> requests() {
    return new ArrayList<>(streams.keySet());
  }
}
