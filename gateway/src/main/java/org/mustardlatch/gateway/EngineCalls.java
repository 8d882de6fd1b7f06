package org.mustardlatch.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.KvHandle;
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
import org.mustardlatch.gateway.http.CollectedAnswer;
import org.mustardlatch.gateway.http.UpstreamAnswer;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Calls to model engines: reservations, prefills, decodes, and what is given back. Results become
 * routing events.
 */
final class EngineCalls {
  // The engine's clock for an exported KV cache starts before its answer has arrived here.
  private static final Duration HANDLE_MARGIN = Duration.ofMillis(50);
  // Covers a prefill at the crest; room that is kept for nobody is lost to others.
  private static final Duration RESERVATION_LIFE = Duration.ofMillis(1_200);
  private static final Duration OWN_PROMPT_LIFE = Duration.ofDays(1);
  private static final int SUCCESS = 200;

  private final Fleet fleet;
  private final TimerService timers;
  private final UpstreamProtocol protocol;
  private final GatewayMetrics metrics;
  private final Consumer<RoutingEvent> results;
  private final Map<AttemptId, Call> calls = new HashMap<>();
  private final Map<AttemptId, Reserved> reserved = new HashMap<>();

  /**
   * Creates calls.
   *
   * @param results takes events; must not handle them before the event in progress has ended
   */
  EngineCalls(
      Fleet fleet,
      TimerService timers,
      UpstreamProtocol protocol,
      GatewayMetrics metrics,
      Consumer<RoutingEvent> results) {
    this.fleet = fleet;
    this.timers = timers;
    this.protocol = protocol;
    this.metrics = metrics;
    this.results = results;
  }

  private void post(RoutingEvent event) {
    results.accept(event);
  }

  void reserve(GenerationStream s, RoutingCommand.ReserveEngine c) {
    Instance target = fleet.instance(c.upstream().value());
    if (target == null) {
      post(new RoutingEvent.EngineReservationFailed(c.attempt(), Failure.REFUSED));
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

  void startPrefill(GenerationStream s, RoutingCommand.StartPrefill c) {
    Instance target = fleet.instance(c.upstream().value());
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

  void startDecode(GenerationStream s, RoutingCommand.StartDecode c) {
    Instance target = fleet.instance(c.upstream().value());
    Instance source = fleet.instance(c.handle().source().value());
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

  void cancel(AttemptId attempt) {
    dropReservation(attempt);
    Call call = calls.remove(attempt);
    if (call != null) {
      call.cancel();
    }
  }

  void release(KvHandle handle) {
    Instance source = fleet.instance(handle.source().value());
    if (source == null || source.stage() != EngineStage.PREFILL) {
      return;
    }
    var kv = new UpstreamCallPlan.Work.Decode(source, handle.reference());
    var request = new CallRequest(protocol.release(kv), new byte[0], true, r -> true);
    fleet.pool(source).send(request, new ReleaseAnswer(handle.reference(), source.id()));
  }

  private record Reserved(Instance engine, String name) {}

  /** Hears whether an engine keeps room for an attempt. */
  private final class ReservationAnswer extends CollectedAnswer {
    private final AttemptId attempt;
    private final GenerationStream stream;
    private final Instance engine;

    ReservationAnswer(AttemptId attempt, GenerationStream stream, Instance engine) {
      this.attempt = attempt;
      this.stream = stream;
      this.engine = engine;
    }

    @Override
    protected void answered(UpstreamAnswer a) {
      calls.remove(attempt);
      if (a.status() != SUCCESS) {
        refused("status " + a.status(), Failure.REFUSED);
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
      metrics.callFailed("reserve", String.valueOf(failure));
      EventLog.log(
          LogEvent.CALL_FAILED,
          stream.exchange.callerId(),
          attempt,
          engine.id(),
          "reserve",
          reason);
      post(new RoutingEvent.EngineReservationFailed(attempt, failure));
    }
  }

  /** Collects the answer to a prefill. */
  private final class PrefillAnswer extends CollectedAnswer {
    private final AttemptId attempt;
    private final GenerationStream stream;
    private final Instance source;
    private final long sentNanos = timers.nanos();

    PrefillAnswer(AttemptId attempt, GenerationStream stream, Instance source) {
      this.attempt = attempt;
      this.stream = stream;
      this.source = source;
    }

    @Override
    protected void answered(UpstreamAnswer a) {
      calls.remove(attempt);
      if (a.status() != SUCCESS) {
        boolean notRun = protocol.read(a.head()).notRun();
        logFailed("prefill status " + a.status());
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
      metrics.callFailed("prefill", "any");
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
    private final GenerationStream stream;
    private @Nullable UpstreamAnswer answer;
    private boolean started;

    DecodeAnswer(AttemptId attempt, GenerationStream stream) {
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
        stream.times.passed(count, timers.nanos());
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
        stream.exchange.firstByte(timers.nanos());
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
      metrics.callFailed("decode", "any");
      EventLog.log(
          LogEvent.CALL_FAILED, stream.exchange.callerId(), attempt, "-", "decode", reason);
    }
  }

  /** Takes note when a KV cache could not be freed; it expires by itself. */
  private static final class ReleaseAnswer extends CollectedAnswer {
    private final String name;
    private final String engine;

    ReleaseAnswer(String name, String engine) {
      this.name = name;
      this.engine = engine;
    }

    @Override
    protected void answered(UpstreamAnswer answer) {}

    @Override
    public void failed(CallFailure failure, String reason) {
      EventLog.log(LogEvent.KV_NOT_FREED, name, engine, reason);
    }
  }
}
