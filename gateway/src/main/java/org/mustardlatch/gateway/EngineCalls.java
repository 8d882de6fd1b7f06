package org.mustardlatch.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.KvHandle;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.config.EngineSpec;
import org.mustardlatch.gateway.config.EngineStage;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.http.BufferedResponse;
import org.mustardlatch.gateway.http.BufferedResponseListener;
import org.mustardlatch.gateway.http.Call;
import org.mustardlatch.gateway.http.CallFailure;
import org.mustardlatch.gateway.http.CallListener;
import org.mustardlatch.gateway.http.CallRequest;
import org.mustardlatch.gateway.http.CallerExchange;
import org.mustardlatch.gateway.http.EventStreams;
import org.mustardlatch.gateway.http.ResponseEnd;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Sends the calls to model engines that routing commands request: reservations, prefills, decodes
 * and the release of reservations and KV caches. Reports the results as routing events.
 *
 * <p>Used on the event loop of the data path only.
 */
final class EngineCalls {
  private static final String LAST_EVENT_ID = "Last-Event-ID";

  // The engine starts to count the lifetime of an exported KV cache before its response arrives
  // here, so this node treats the cache as expired a little earlier.
  private static final Duration HANDLE_EXPIRY_MARGIN = Duration.ofMillis(50);
  // Long enough for a prefill at a load peak. Capacity that stays reserved for a request that never
  // comes is wasted.
  private static final Duration MAX_RESERVATION_TTL = Duration.ofMillis(1_200);
  // For the handle of a decode engine that processes the prompt itself. No KV cache is exported
  // then that could expire.
  private static final Duration LOCAL_KV_TTL = Duration.ofDays(1);
  private static final int HTTP_OK = 200;

  private final FleetState fleet;
  private final TimerService timers;
  private final PlatformProtocol protocol;
  private final GatewayMetrics metrics;
  private final CrashDetector crashDetector;
  private final Consumer<RoutingEvent> eventSink;
  private final Map<AttemptId, ActiveCall> calls = new HashMap<>();
  private final Map<AttemptId, EngineReservation> reservations = new HashMap<>();

  /**
   * Creates an instance without calls in progress.
   *
   * @param eventSink receives the results; must not process them before the event in progress has
   *     been processed
   */
  EngineCalls(
      FleetState fleet,
      TimerService timers,
      PlatformProtocol protocol,
      GatewayMetrics metrics,
      CrashDetector crashDetector,
      Consumer<RoutingEvent> eventSink) {
    this.fleet = fleet;
    this.timers = timers;
    this.protocol = protocol;
    this.metrics = metrics;
    this.crashDetector = crashDetector;
    this.eventSink = eventSink;
  }

  private void emit(RoutingEvent event) {
    eventSink.accept(event);
  }

  /** Requests a reservation of a slot and KV memory at an engine. */
  void reserve(GenerationStream s, RoutingCommand.ReserveEngine c) {
    Instance target = fleet.instance(c.upstream());
    if (target == null) {
      emit(new RoutingEvent.EngineReservationFailed(c.attempt(), Failure.REFUSED));
      return;
    }
    EngineSpec engine = s.exchange.service().engine();
    Duration longest = engine == null ? Duration.ZERO : engine.maxReservationTtl();
    Duration timeToLive =
        longest.compareTo(MAX_RESERVATION_TTL) < 0 ? longest : MAX_RESERVATION_TTL;
    sendCall(
        c.attempt(),
        s,
        target,
        protocol.reservationRequest(target, c.tokens(), timeToLive),
        new ReservationResponseListener(c.attempt(), s, target));
  }

  /** Releases the reservation of an attempt that will not be sent to the engine. */
  private void releaseReservation(AttemptId attempt) {
    EngineReservation reservation = reservations.remove(attempt);
    if (reservation != null) {
      var request =
          new CallRequest(
              protocol.releaseReservationRequest(reservation.engine, reservation.reservationId),
              new byte[0],
              true);
      fleet
          .poolFor(reservation.engine)
          .send(
              request,
              new ReleaseResponseListener(reservation.reservationId, reservation.engine.id()));
    }
  }

  /** Starts a prefill, or skips it if the target is a decode engine that processes the prompt. */
  void startPrefill(GenerationStream s, RoutingCommand.StartPrefill c) {
    Instance target = fleet.instance(c.upstream());
    if (target == null) {
      emit(new RoutingEvent.PrefillFailed(c.attempt(), Failure.REFUSED));
    } else if (target.stage() == EngineStage.DECODE) {
      // The decode engine processes the prompt as a part of the decode call.
      long expires = timers.nanos() + LOCAL_KV_TTL.toNanos();
      emit(
          new RoutingEvent.PrefillFinished(
              c.attempt(), new KvHandle(c.upstream(), "own", 0, expires)));
    } else {
      var plan = s.callPlan(target, UpstreamCallPlan.PREFILL, null);
      s.logStageSent(target, "prefill", c.attempt());
      sendCall(
          c.attempt(),
          s,
          target,
          s.exchange.toUpstreamRequest(plan),
          new PrefillResponseListener(c.attempt(), s, target));
    }
  }

  /** Starts a decode, from the KV cache of a prefill engine or from the prompt itself. */
  void startDecode(GenerationStream s, RoutingCommand.StartDecode c) {
    Instance target = fleet.instance(c.upstream());
    Instance source = fleet.instance(c.handle().source());
    if (target == null || source == null) {
      emit(new RoutingEvent.DecodeFailed(c.attempt(), Failure.REFUSED));
      return;
    }
    if (!s.mayGoOnAt(target)) {
      // The process has been replaced by one of another version since the router chose it.
      emit(new RoutingEvent.DecodeFailed(c.attempt(), Failure.REFUSED));
      return;
    }
    boolean includesPrefill = source.id().equals(target.id());
    UpstreamCallPlan.Work work =
        includesPrefill
            ? UpstreamCallPlan.WHOLE
            : new UpstreamCallPlan.Work.Decode(source, c.handle().reference());
    s.logStageSent(target, includesPrefill ? "whole" : "decode", c.attempt());
    EngineReservation reservation = reservations.remove(c.attempt());
    String reservationId =
        reservation != null && reservation.engine.id().equals(target.id())
            ? reservation.reservationId
            : null;
    // The length of a stream is unlimited, as its events are passed on when they arrive.
    CallRequest request =
        s.exchange
            .toUpstreamRequest(s.callPlan(target, work, reservationId))
            .withMaxResponseBytes(Long.MAX_VALUE);
    sendCall(c.attempt(), s, target, request, new DecodeResponseListener(c.attempt(), s, target));
  }

  /** Tells a crash of the engine from other failures of a call that the engine may have got. */
  private void classify(
      @Nullable ActiveCall call,
      GenerationStream s,
      CallFailure failure,
      Consumer<Failure> consumer) {
    if (failure == CallFailure.BROKEN && call != null) {
      crashDetector.check(
          call.target,
          s.exchange,
          call.sentNanos,
          crashed -> consumer.accept(crashed ? Failure.CRASHED : Failure.DISCONNECTED));
    } else {
      consumer.accept(Failure.DISCONNECTED);
    }
  }

  private void sendCall(
      AttemptId attempt,
      GenerationStream s,
      Instance target,
      CallRequest request,
      CallListener listener) {
    Call call = fleet.poolFor(target).send(request, listener);
    boolean stage = !(listener instanceof ReservationResponseListener);
    calls.put(attempt, new ActiveCall(call, s.exchange, target, stage, timers.nanos()));
  }

  /** Cancels the call of an attempt and releases its reservation. */
  void cancel(RoutingCommand.CancelAttempt c) {
    releaseReservation(c.attempt());
    ActiveCall active = calls.remove(c.attempt());
    if (active != null) {
      active.call.cancel();
      if (active.stage) {
        crashDetector.observe(active.target, active.exchange, active.sentNanos);
      }
    }
  }

  /**
   * Frees a KV cache that a prefill engine retains. Does nothing for the handle of a decode engine,
   * which has exported no KV cache.
   */
  void releaseKv(KvHandle handle) {
    Instance source = fleet.instance(handle.source());
    if (source == null || source.stage() != EngineStage.PREFILL) {
      return;
    }
    var kv = new UpstreamCallPlan.Work.Decode(source, handle.reference());
    var request = new CallRequest(protocol.releaseKvRequest(kv), new byte[0], true);
    fleet
        .poolFor(source)
        .send(request, new ReleaseResponseListener(handle.reference(), source.id()));
  }

  /**
   * A call in progress.
   *
   * @param stage whether the engine runs a stage of the request, rather than reserving for it
   * @param sentNanos monotonic time at which it was sent
   */
  private record ActiveCall(
      Call call, RoutedExchange exchange, Instance target, boolean stage, long sentNanos) {}

  /**
   * A reservation at an engine.
   *
   * @param reservationId the engine's id of the reservation
   */
  private record EngineReservation(Instance engine, String reservationId) {}

  /** Processes the response to a reservation request. */
  private final class ReservationResponseListener extends BufferedResponseListener {
    private final AttemptId attempt;
    private final GenerationStream stream;
    private final Instance engine;

    ReservationResponseListener(AttemptId attempt, GenerationStream stream, Instance engine) {
      this.attempt = attempt;
      this.stream = stream;
      this.engine = engine;
    }

    @Override
    protected void responseReceived(BufferedResponse response) {
      calls.remove(attempt);
      if (response.status() != HTTP_OK) {
        reportFailure("status " + response.status(), Failure.REFUSED);
        return;
      }
      try {
        reservations.put(
            attempt, new EngineReservation(engine, protocol.readReservationId(response.body())));
        emit(new RoutingEvent.EngineReserved(attempt));
      } catch (IllegalArgumentException e) {
        reportFailure("unreadable: " + e.getMessage(), Failure.REFUSED);
      }
    }

    @Override
    public void failed(CallFailure failure, String reason) {
      calls.remove(attempt);
      reportFailure(failure + " " + reason, Failure.DISCONNECTED);
    }

    private void reportFailure(String reason, Failure failure) {
      metrics.countFailedCall("reserve", String.valueOf(failure));
      EventLog.log(
          LogEvent.CALL_FAILED,
          stream.exchange.callerRequestId(),
          attempt,
          engine.id(),
          "reserve",
          reason);
      emit(new RoutingEvent.EngineReservationFailed(attempt, failure));
    }
  }

  /** Processes the response to a prefill. */
  private final class PrefillResponseListener extends BufferedResponseListener {
    private final AttemptId attempt;
    private final GenerationStream stream;
    private final Instance source;
    private final long sentNanos = timers.nanos();

    PrefillResponseListener(AttemptId attempt, GenerationStream stream, Instance source) {
      this.attempt = attempt;
      this.stream = stream;
      this.source = source;
    }

    @Override
    public void sent() {
      stream.exchange.recordPartSent();
    }

    @Override
    protected void responseReceived(BufferedResponse response) {
      calls.remove(attempt);
      if (response.status() != HTTP_OK) {
        boolean notExecuted = protocol.readResponse(response.head()).notExecuted();
        recordFailure("prefill status " + response.status());
        releaseReservation(attempt);
        emit(
            new RoutingEvent.PrefillFailed(
                attempt, notExecuted ? Failure.REFUSED : Failure.DISCONNECTED));
        return;
      }
      try {
        emit(
            new RoutingEvent.PrefillFinished(
                attempt, toKvHandle(protocol.readPrefillResponse(response.body()))));
      } catch (IllegalArgumentException e) {
        recordFailure("unreadable export: " + e.getMessage());
        releaseReservation(attempt);
        emit(new RoutingEvent.PrefillFailed(attempt, Failure.DISCONNECTED));
      }
    }

    private KvHandle toKvHandle(ExportedKv kv) {
      EngineSpec engine = stream.exchange.service().engine();
      Duration timeToLive = engine == null ? Duration.ZERO : engine.kvHandleTtl();
      long bytes = engine == null ? 0 : engine.kvBytesPerToken() * kv.tokens();
      long expires = timers.nanos() + timeToLive.minus(HANDLE_EXPIRY_MARGIN).toNanos();
      EventLog.log(
          LogEvent.PREFILL_DONE,
          stream.exchange.callerRequestId(),
          attempt,
          source.id(),
          kv.tokens(),
          (timers.nanos() - sentNanos) / 1_000_000);
      return new KvHandle(source.upstreamId(), kv.reference(), bytes, expires);
    }

    @Override
    public void failed(CallFailure failure, String reason) {
      ActiveCall call = calls.remove(attempt);
      recordFailure(failure + " " + reason);
      releaseReservation(attempt);
      classify(call, stream, failure, f -> emit(new RoutingEvent.PrefillFailed(attempt, f)));
    }

    private void recordFailure(String reason) {
      metrics.countFailedCall("prefill", "any");
      EventLog.log(
          LogEvent.CALL_FAILED,
          stream.exchange.callerRequestId(),
          attempt,
          source.id(),
          "prefill",
          reason);
    }
  }

  /**
   * Forwards the event stream of a decode to the caller. If another decode of the stream is in
   * progress, which is silent, this one replaces it when its engine has accepted it, unless events
   * of the other have arrived by then.
   */
  private final class DecodeResponseListener implements CallListener {
    private final AttemptId attempt;
    private final GenerationStream stream;
    private final Instance target;
    private final boolean resumed;
    private final int eventsBefore;
    private @Nullable BufferedResponse response;
    private boolean abandoned;

    DecodeResponseListener(AttemptId attempt, GenerationStream stream, Instance target) {
      this.attempt = attempt;
      this.stream = stream;
      this.target = target;
      this.resumed = stream.exchange.caller().responseStarted();
      this.eventsBefore = stream.events.eventCount();
      if (silentDecode() == null) {
        forward();
      }
    }

    /** Returns the decode in progress that this one is to replace, or null. */
    private @Nullable AttemptId silentDecode() {
      AttemptId other = stream.forwardedAttempt;
      return other != null && !other.equals(attempt) && calls.containsKey(other) ? other : null;
    }

    private void forward() {
      stream.forwardedAttempt = attempt;
      stream.events.resume();
    }

    private boolean isForwarded() {
      return attempt.equals(stream.forwardedAttempt);
    }

    /**
     * Starts to forward this decode, whose engine has accepted it, in place of the silent one.
     *
     * @return false if events have arrived that this decode would repeat
     */
    private boolean takeOver() {
      if (stream.events.eventCount() != eventsBefore) {
        return false;
      }
      AttemptId silent = silentDecode();
      forward();
      if (silent != null) {
        ActiveCall call = calls.remove(silent);
        if (call != null) {
          call.call.cancel();
          crashDetector.observe(call.target, stream.exchange, call.sentNanos);
        }
        // The router has cancelled it when it gets this, unless it has given up this decode.
        emit(new RoutingEvent.DecodeFailed(silent, Failure.DISCONNECTED));
      }
      return true;
    }

    @Override
    public void sent() {
      stream.exchange.recordSent();
    }

    @Override
    public void headReceived(HttpResponse head) {
      BufferedResponse received = new BufferedResponse(head);
      response = received;
      // An engine that can't fetch the KV cache refuses, so the head of a stream says that it has.
      // Its first event may take longer than the KV cache would have been kept.
      if (!isUpstreamSuccess(received)) {
        return;
      }
      // Comes before the end of the decode that is replaced.
      emit(new RoutingEvent.DecodeStarted(attempt));
      if (!isForwarded() && !takeOver()) {
        abandon("the engine before has gone on");
      }
    }

    /**
     * Returns whether the response is the event stream. A successful response without the stamp of
     * an upstream is not one, nor is one of another media type in place of the rest of a stream.
     */
    private boolean isUpstreamSuccess(BufferedResponse received) {
      return received.succeeded()
          && protocol.readResponse(received.head()).hasUpstreamStamp()
          && (!resumed || mayBeEventStream(received));
    }

    private static boolean mayBeEventStream(BufferedResponse received) {
      String contentType = received.head().headers().get(HttpHeaderNames.CONTENT_TYPE);
      return contentType == null || EventStreams.isEventStream(contentType);
    }

    @Override
    public void bodyReceived(ByteBuf part) {
      BufferedResponse received = response;
      if (received == null || abandoned) {
        return;
      }
      if (!isUpstreamSuccess(received)) {
        received.append(part);
        if (received.length() > CallRequest.DEFAULT_MAX_RESPONSE_BYTES) {
          abandon("body exceeds " + CallRequest.DEFAULT_MAX_RESPONSE_BYTES + " bytes");
        }
        return;
      }
      int before = stream.events.eventCount();
      forwardEvents(received, stream.events.append(part));
      int count = stream.events.eventCount() - before;
      if (count > 0) {
        stream.timing.recordEvents(count, timers.nanos());
        emit(new RoutingEvent.TokensArrived(attempt, count));
      }
      if (stream.events.eventTooLong()) {
        abandon("event exceeds " + SseEventSplitter.MAX_EVENT_BYTES + " bytes");
      } else if (stream.events.repeating()) {
        abandon("event after " + stream.events.lastEventId() + " repeats an earlier one");
      }
    }

    /** Closes the connection of a response whose rest is of no use. */
    private void abandon(String reason) {
      abandoned = true;
      ActiveCall active = calls.get(attempt);
      if (active != null) {
        active.call.cancel();
      }
      failed(CallFailure.GARBLED, reason);
    }

    /** Sends complete events to the caller. */
    private void forwardEvents(BufferedResponse received, ByteBuf events) {
      CallerExchange caller = stream.exchange.caller();
      if (events.isReadable()) {
        if (stream.softwareVersion == null) {
          stream.softwareVersion = target.softwareVersion();
        }
        beginCallerResponse(received);
        caller.sendBodyPart(events);
        applyBackpressure();
      }
    }

    private void beginCallerResponse(BufferedResponse received) {
      CallerExchange caller = stream.exchange.caller();
      if (!caller.responseStarted()) {
        stream.exchange.recordFirstByte(timers.nanos());
        caller.beginResponse(received.head().status(), received.head().headers());
      }
      caller.onRoomChange(this::applyBackpressure);
    }

    /**
     * Reads from the engine only while its caller reads or the node has room to buffer events,
     * since engines cut off responses that remain unread.
     */
    private void applyBackpressure() {
      ActiveCall active = calls.get(attempt);
      if (active != null) {
        active.call.setAutoRead(stream.exchange.caller().mayBuffer());
      }
    }

    @Override
    public void completed(ResponseEnd end) {
      ActiveCall call = calls.remove(attempt);
      BufferedResponse received = response;
      if (received == null) {
        return;
      }
      if (isForwarded()) {
        stream.end = end;
      }
      if (isUpstreamSuccess(received) && !endsAfterEvent()) {
        callBroken(call, CallFailure.BROKEN, "response ended inside an event");
      } else if (isUpstreamSuccess(received)) {
        beginCallerResponse(received);
        emit(new RoutingEvent.DecodeFinished(attempt));
      } else if (protocol.readResponse(received.head()).notExecuted()) {
        stream.exchange.recordNotExecuted();
        recordFailure("refused with " + received.status());
        emit(new RoutingEvent.DecodeFailed(attempt, Failure.REFUSED));
      } else {
        recordFailure("status " + received.status());
        // A successful response without the stamp of an upstream must not reach the caller.
        stream.lastErrorResponse = received.succeeded() ? null : received;
        emit(new RoutingEvent.DecodeFailed(attempt, Failure.DISCONNECTED));
      }
    }

    /**
     * Returns whether the stream ends where a whole one does, which its framing does not tell: the
     * server of a failed engine may end the response in order. A whole stream has no event only if
     * the caller resumes after the last one.
     */
    private boolean endsAfterEvent() {
      boolean mayBeEmpty = stream.exchange.caller().head().headers().contains(LAST_EVENT_ID);
      return stream.events.incompleteEventBytes().length == 0
          && (mayBeEmpty || stream.events.eventCount() > 0);
    }

    @Override
    public void failed(CallFailure failure, String reason) {
      callBroken(calls.remove(attempt), failure, reason);
    }

    private void callBroken(@Nullable ActiveCall call, CallFailure failure, String reason) {
      if (isForwarded()) {
        stream.events.discardIncompleteEvent();
      }
      recordFailure(failure + " " + reason);
      if (failure == CallFailure.NOT_SENT) {
        emit(new RoutingEvent.DecodeFailed(attempt, Failure.REFUSED));
      } else {
        classify(call, stream, failure, f -> emit(new RoutingEvent.DecodeFailed(attempt, f)));
      }
    }

    private void recordFailure(String reason) {
      metrics.countFailedCall("decode", "any");
      EventLog.log(
          LogEvent.CALL_FAILED,
          stream.exchange.callerRequestId(),
          attempt,
          target.id(),
          "decode",
          reason);
    }
  }

  /**
   * Logs that a call to release a KV cache or a reservation ended without a complete response. The
   * call is not retried and the status of a response is ignored, because the engine drops both
   * after their time to live.
   */
  private static final class ReleaseResponseListener extends BufferedResponseListener {
    private final String resourceId;
    private final String engineId;

    ReleaseResponseListener(String resourceId, String engineId) {
      this.resourceId = resourceId;
      this.engineId = engineId;
    }

    @Override
    protected void responseReceived(BufferedResponse response) {}

    @Override
    public void failed(CallFailure failure, String reason) {
      EventLog.log(LogEvent.KV_NOT_FREED, resourceId, engineId, reason);
    }
  }
}
