package org.mustardlatch.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.balancing.Balancer;
import org.mustardlatch.core.balancing.Candidate;
import org.mustardlatch.core.balancing.HedgePolicy;
import org.mustardlatch.core.balancing.RetryBudget;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.http.BufferedResponse;
import org.mustardlatch.gateway.http.Call;
import org.mustardlatch.gateway.http.CallFailure;
import org.mustardlatch.gateway.http.CallerExchange;
import org.mustardlatch.gateway.http.EventStreams;
import org.mustardlatch.gateway.http.PassingResponseListener;
import org.mustardlatch.gateway.http.RequestBody;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Handles requests to application services: selects an upstream with the {@link Balancer}, sends
 * the request, retries it within a budget and returns the response to the caller.
 *
 * <p>Used on the event loop of the data path only.
 */
final class ApplicationRequestHandler {
  private static final int MAX_REFUSALS = 3;
  private static final int MIN_SERVER_ERROR_STATUS = 500;
  private static final String HEDGE_REASON = "hedge";
  private static final int HTTP_OK = 200;
  private static final int MIN_UNSUCCESSFUL_STATUS = 300;
  // A response that passes through is not subject to the deadline, since a caller that reads it
  // slowly is still served. It is broken off when no byte of it has moved for this time.
  private static final Duration MAX_PASSING_PAUSE = Duration.ofSeconds(15);

  private final FleetState fleet;
  private final TimerService timers;
  private final NetworkLatencyEstimates networkLatency;
  private final GatewaySettings settings;
  private final RandomGenerator random;
  private final Balancer balancer = new Balancer();
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
  private final Hedging hedging;
  private final Map<CallerExchange, ActiveRequest> activeRequests = new HashMap<>();
  private final PlatformProtocol protocol;
  private final GatewayMetrics metrics;
  private final CrashDetector crashDetector;
  private final RunDecisions runDecisions;
  private final Map<RequestId, ActiveRequest> awaitingDecision = new HashMap<>();
  private final Map<RequestId, ActiveRequest> awaitingStart = new HashMap<>();
  private final IntSupplier liveNodeCount;

  ApplicationRequestHandler(
      FleetState fleet,
      TimerService timers,
      GatewaySettings settings,
      PlatformProtocol protocol,
      RandomGenerator random,
      GatewayMetrics metrics,
      CrashDetector crashDetector,
      RunDecisions runDecisions,
      IntSupplier liveNodeCount) {
    this.liveNodeCount = liveNodeCount;
    this.crashDetector = crashDetector;
    this.runDecisions = runDecisions;
    this.metrics = metrics;
    this.fleet = fleet;
    this.timers = timers;
    this.settings = settings;
    this.protocol = protocol;
    this.random = random;
    this.networkLatency = new NetworkLatencyEstimates(settings);
    this.hedging = new Hedging(settings, timers, metrics);
    runDecisions.onDecision(this::runDecided, this::startDecided);
  }

  /** Returns the number of requests in progress. */
  int openRequests() {
    return activeRequests.size();
  }

  /** Sends a request to an upstream and credits the retry budget of its service. */
  void start(RoutedExchange exchange) {
    ActiveRequest request = new ActiveRequest(exchange);
    hedging.requestReceived(exchange.service().name());
    activeRequests.put(exchange.caller(), request);
    retryBudget(exchange.service().name()).deposit(settings.retryBudgetRatio() / 2);
    request.sendFirstAttempt();
  }

  /**
   * Cancels the request of a caller that disconnected.
   *
   * @return whether this handler had a request of that caller
   */
  boolean callerDisconnected(CallerExchange caller) {
    ActiveRequest request = activeRequests.get(caller);
    if (request != null) {
      request.close();
      request.releaseMemory();
      request.exchange.recordOutcome("caller_left", null, 0);
    }
    return request != null;
  }

  /** Ends all requests with an error, or the server error that an upstream responded with. */
  void failAll(ErrorCode code, String reason) {
    List.copyOf(activeRequests.values()).forEach(r -> r.end(code, reason, Duration.ZERO));
  }

  private RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service, s -> RetryLimits.budgetPerNode(settings, liveNodeCount.getAsInt()));
  }

  private List<Candidate> candidates(ActiveRequest request) {
    List<Candidate> result = new ArrayList<>();
    for (Instance i : fleet.instancesForNewWork(request.exchange.service().name())) {
      result.add(
          new Candidate(i.upstreamId(), i.slots(), networkLatency.roundTripNanos(i.zoneId())));
    }
    return result;
  }

  private void runDecided(RoutingCommand.DecideApplicationRun decision) {
    ActiveRequest request = awaitingDecision.remove(decision.request());
    if (request != null) {
      request.runDecided(decision);
    }
  }

  private void startDecided(RoutingCommand.DecideApplicationStart decision) {
    ActiveRequest request = awaitingStart.remove(decision.request());
    if (request != null) {
      request.startDecided(decision.upstream());
    }
  }

  /** A caller's request and its attempts on one or more upstreams. */
  private final class ActiveRequest {
    private final RoutedExchange exchange;
    private final Set<UpstreamId> attemptedUpstreams = new HashSet<>();
    private final List<Attempt> activeAttempts = new ArrayList<>();
    private final List<Attempt> allAttempts = new ArrayList<>();
    private int attemptCount;
    private int refusalCount;
    // Reason of the next or latest attempt, for the log.
    private String attemptReason = "first";
    private boolean suspect;
    private boolean closed;
    private @Nullable BufferedResponse serverError;
    private @Nullable TimerSubscription deadlineTimer;
    private @Nullable TimerSubscription slowResponseTimer;

    ActiveRequest(RoutedExchange exchange) {
      this.exchange = exchange;
    }

    void sendFirstAttempt() {
      Duration remaining = Duration.ofNanos(exchange.deadlineNanos() - timers.nanos());
      deadlineTimer = timers.schedule(remaining, this::onDeadline);
      requestRun("first");
    }

    /** Sends the request once the router permits it, which it does at once without evidence. */
    private void requestRun(String reason) {
      attemptReason = reason;
      if (runDecisions.required()) {
        RequestId id = new RequestId(exchange.localId());
        awaitingDecision.put(id, this);
        // A caller that is refused in the middle of its time can still come back.
        long now = timers.nanos();
        long waitUntil = now + (exchange.deadlineNanos() - now) / 2;
        runDecisions.handle(
            new RoutingEvent.ApplicationRunRequested(
                id, exchange.fingerprint(), exchange.service().name(), waitUntil));
      } else {
        suspect = false;
        sendToNextUpstream();
      }
    }

    private void runDecided(RoutingCommand.DecideApplicationRun decision) {
      suspect = decision.suspect();
      switch (decision.verdict()) {
        case RUN -> sendToNextUpstream();
        case QUARANTINED ->
            failIfNoActiveAttempt(
                ErrorCode.REQUEST_QUARANTINED, "upstreams crashed while they ran this content");
        case WAIT ->
            failIfNoActiveAttempt(ErrorCode.OVERLOADED, "the same request is being examined");
      }
    }

    /**
     * Acquires a unit of the retry budget if the route allows another attempt.
     *
     * @return whether the request may be sent again
     */
    private boolean acquireRetry() {
      return mayAttemptAgain() && retryBudget(exchange.service().name()).tryAcquire();
    }

    /** Like {@link #acquireRetry}, but leaves a part of the budget for failed requests. */
    private boolean acquireHedge() {
      return mayAttemptAgain()
          && retryBudget(exchange.service().name())
              .tryAcquireAbove(RetryLimits.unitsForFailures(settings, liveNodeCount.getAsInt()));
    }

    private boolean mayAttemptAgain() {
      return exchange.route().repeatable()
          && attemptCount < exchange.route().maxAttempts()
          && bodyCanBeSentAgain();
    }

    /** Returns whether the whole body, or all of it that has arrived, is still held. */
    private boolean bodyCanBeSentAgain() {
      RequestBody body = exchange.caller().body();
      // A body that still arrives passes through to one upstream at a time.
      return body.isHeld() && (body.isComplete() || activeAttempts.isEmpty());
    }

    /**
     * Sends the request to the upstream with the shortest predicted response time among those not
     * attempted yet that take another request.
     */
    private void sendToNextUpstream() {
      long now = timers.nanos();
      if (runDecisions.startRequired()) {
        requestStart(balancer.rank(candidates(this), attemptedUpstreams, now));
      } else {
        sendTo(balancer.choose(candidates(this), attemptedUpstreams, now));
      }
    }

    /** Has the router choose an upstream, some of which limit the requests of all nodes. */
    private void requestStart(List<Candidate> ranked) {
      if (ranked.isEmpty()) {
        sendTo(null);
        return;
      }
      RequestId id = new RequestId(exchange.localId());
      awaitingStart.put(id, this);
      runDecisions.handle(
          new RoutingEvent.ApplicationStartRequested(
              id, ranked.stream().map(Candidate::id).toList()));
    }

    private void startDecided(@Nullable UpstreamId upstream) {
      if (upstream == null) {
        failIfNoActiveAttempt(
            ErrorCode.OVERLOADED, "all upstreams get as many requests as they take");
        return;
      }
      // The upstream may have left since the router was asked.
      Candidate chosen =
          candidates(this).stream().filter(c -> c.id().equals(upstream)).findFirst().orElse(null);
      if (chosen == null) {
        sendToNextUpstream();
      } else {
        sendTo(chosen);
      }
    }

    private void sendTo(@Nullable Candidate c) {
      long now = timers.nanos();
      Instance target = c == null ? null : fleet.instance(c.id());
      if (c == null || target == null) {
        failIfNoActiveAttempt(ErrorCode.UPSTREAM_UNAVAILABLE, "no upstream left");
        return;
      }
      if (!bodyCanBeSentAgain()) {
        failIfNoActiveAttempt(ErrorCode.UPSTREAM_FAILED, "the body is no longer held");
        return;
      }
      attemptedUpstreams.add(c.id());
      attemptCount++;
      long remainingMillis = Math.max(1, (exchange.deadlineNanos() - now) / 1_000_000);
      var plan =
          new UpstreamCallPlan(
              target, remainingMillis, UpstreamCallPlan.WHOLE, null, null, exchange.identity());
      double predicted = balancer.predictedResponseNanos(c, now);
      EventLog.log(
          LogEvent.REQUEST_SENT,
          exchange.callerRequestId(),
          exchange.localId(),
          target.id(),
          attemptReason,
          (long) (predicted / 1_000_000),
          exchange.contentId());
      Attempt attempt = new Attempt(target, now, attemptReason.equals(HEDGE_REASON));
      activeAttempts.add(attempt);
      allAttempts.add(attempt);
      balancer.requestSent(c.id());
      attempt.call = fleet.poolFor(target).send(exchange.toUpstreamRequest(plan), attempt);
      scheduleSlowResponseCheck(predicted);
    }

    /**
     * Schedules the check for a slow response. Does so only once for a request, so at most one
     * attempt is added for slowness.
     */
    private void scheduleSlowResponseCheck(double predictedNanos) {
      if (!exchange.route().repeatable() || slowResponseTimer != null) {
        return;
      }
      OptionalLong delay = hedging.delayNanos(exchange.service().name(), predictedNanos);
      if (delay.isPresent()) {
        slowResponseTimer =
            timers.schedule(Duration.ofNanos(delay.getAsLong()), this::onSlowResponse);
      }
    }

    private void onSlowResponse() {
      if (activeAttempts.size() != 1 || suspect || !mayAttemptAgain()) {
        return;
      }
      HedgePolicy policy = hedging.policy(exchange.service().name());
      if (policy == null) {
        if (acquireHedge()) {
          requestRun("late_answer");
        }
        return;
      }
      HedgePolicy.Decision decision = policy.requestCopy(otherUpstreamHasRoom());
      if (decision != HedgePolicy.Decision.SEND) {
        hedging.explain(exchange, "copy_not_sent", decision.name().toLowerCase(Locale.ROOT));
      } else if (!acquireHedge()) {
        hedging.explain(exchange, "copy_not_sent", "retry_budget");
      } else {
        hedging.explain(exchange, "copy_sent", "response is late");
        requestRun(HEDGE_REASON);
      }
    }

    private boolean otherUpstreamHasRoom() {
      long now = timers.nanos();
      Candidate next = balancer.choose(candidates(this), attemptedUpstreams, now);
      return next != null && balancer.hasFreeSlot(next, now);
    }

    /**
     * Ends the request unless another attempt is in progress. The caller gets the server error that
     * an upstream sent to an earlier attempt, or this error if there was none.
     */
    private void failIfNoActiveAttempt(ErrorCode code, String reason) {
      if (activeAttempts.isEmpty()) {
        end(code, reason, RetryLimits.retryAfter(exchange, timers.nanos(), random));
      }
    }

    private void onDeadline() {
      end(ErrorCode.DEADLINE_EXCEEDED, "deadline passed", Duration.ZERO);
    }

    private void end(ErrorCode code, String reason, Duration retryAfter) {
      BufferedResponse error = serverError;
      close();
      if (error != null && !exchange.caller().responseStarted()) {
        exchange.sendResponse(error, "last_server_error", this::releaseMemory);
      } else {
        exchange.fail(code, reason, retryAfter);
        releaseMemory();
      }
    }

    /** Returns the memory of all responses. */
    void releaseMemory() {
      allAttempts.forEach(Attempt::releaseMemory);
    }

    /** Removes the request, cancels its attempts and timers. */
    void close() {
      closed = true;
      activeRequests.remove(exchange.caller());
      RequestId id = new RequestId(exchange.localId());
      awaitingStart.remove(id);
      if (awaitingDecision.remove(id) != null || suspect) {
        boolean abandoned = activeAttempts.stream().anyMatch(a -> a.sent);
        runDecisions.handle(
            new RoutingEvent.ApplicationRunEnded(
                id, exchange.fingerprint(), exchange.service().name(), abandoned));
      }
      cancelActiveAttempts();
      cancelTimers();
    }

    private void cancelActiveAttempts() {
      for (Attempt attempt : activeAttempts) {
        balancer.requestCancelled(attempt.upstream);
        if (attempt.call != null) {
          attempt.call.cancel();
        }
        if (attempt.sent) {
          crashDetector.observe(attempt.target, exchange, attempt.sentNanos);
        }
      }
      activeAttempts.clear();
    }

    private void cancelTimers() {
      if (deadlineTimer != null) {
        deadlineTimer.cancel();
      }
      if (slowResponseTimer != null) {
        slowResponseTimer.cancel();
      }
    }

    private void onResponse(Attempt attempt, BufferedResponse response) {
      long now = timers.nanos();
      ResponseMetadata metadata = protocol.readResponse(response.head());
      if (response.succeeded() && !metadata.hasUpstreamStamp()) {
        onCallFailed(attempt, CallFailure.GARBLED, "success without the mark of an upstream");
        return;
      }
      activeAttempts.remove(attempt);
      if (metadata.notExecuted()) {
        exchange.recordNotExecuted();
        balancer.requestRefused(attempt.upstream, metadata.load(), now);
        onRefusal();
        return;
      }
      reportRunCompleted();
      balancer.responseReceived(attempt.upstream, now - attempt.sentNanos, metadata.load(), now);
      recordHedgeResult(attempt, now);
      if (response.status() >= MIN_SERVER_ERROR_STATUS && serverError == null) {
        if (!activeAttempts.isEmpty()) {
          serverError = response;
          return;
        }
        if (acquireRetry()) {
          serverError = response;
          requestRun("server_error");
          return;
        }
      }
      close();
      exchange.recordFirstByte(now);
      exchange.sendResponse(response, attempt.upstream.value(), this::releaseMemory);
    }

    /** Returns whether the caller gets a response with this head whatever its body is. */
    private boolean isFinal(HttpResponse head) {
      ResponseMetadata metadata = protocol.readResponse(head);
      int status = head.status().code();
      return status >= HTTP_OK
          && status < MIN_UNSUCCESSFUL_STATUS
          && metadata.hasUpstreamStamp()
          && !metadata.notExecuted()
          && !EventStreams.isEventStream(head.headers().get(HttpHeaderNames.CONTENT_TYPE));
    }

    /** Begins to pass on the response of one attempt, and cancels the others. */
    private void onPassingBegan(Attempt attempt, BufferedResponse beginning) {
      activeAttempts.remove(attempt);
      recordHedgeResult(attempt, timers.nanos());
      cancelActiveAttempts();
      activeAttempts.add(attempt);
      cancelTimers();
      CallerExchange caller = exchange.caller();
      exchange.recordFirstByte(timers.nanos());
      caller.beginResponseOfStatedLength(beginning.head().status(), beginning.head().headers());
      caller.onRoomChange(attempt::applyBackpressure);
      attempt.firstPartNanos = timers.nanos();
      attempt.partPassed(Unpooled.wrappedBuffer(beginning.body()));
      attempt.releaseMemory();
      scheduleProgressCheck(attempt);
    }

    private void scheduleProgressCheck(Attempt attempt) {
      long before = attempt.passedBytes;
      deadlineTimer =
          timers.schedule(
              MAX_PASSING_PAUSE,
              () -> {
                if (attempt.passedBytes == before) {
                  end(ErrorCode.DEADLINE_EXCEEDED, "the response does not move", Duration.ZERO);
                } else {
                  scheduleProgressCheck(attempt);
                }
              });
    }

    private void onPassingEnded(Attempt attempt, BufferedResponse beginning) {
      long now = timers.nanos();
      activeAttempts.remove(attempt);
      balancer.responseReceived(
          attempt.upstream,
          attempt.firstPartNanos - attempt.sentNanos,
          protocol.readResponse(beginning.head()).load(),
          now);
      reportRunCompleted();
      close();
      exchange.recordOutcome("delivered", attempt.upstream.value(), beginning.status());
      exchange.caller().endResponse();
      releaseMemory();
    }

    private void reportRunCompleted() {
      if (suspect) {
        suspect = false;
        runDecisions.handle(
            new RoutingEvent.ApplicationRunCompleted(
                new RequestId(exchange.localId()),
                exchange.fingerprint(),
                exchange.service().name()));
      }
    }

    /** Records response times for the delay of later copies, and which copy was faster. */
    private void recordHedgeResult(Attempt responded, long now) {
      HedgePolicy policy = hedging.policy(exchange.service().name());
      if (policy == null) {
        return;
      }
      policy.responseTimeObserved(now - responded.sentNanos, now);
      for (Attempt other : activeAttempts) {
        policy.responseTimeObserved(now - other.sentNanos, now);
        if (responded.isHedge || other.isHedge) {
          hedging.explain(
              exchange, responded.isHedge ? "copy_won" : "copy_lost", responded.upstream.value());
        }
      }
    }

    private void onRefusal() {
      refusalCount++;
      // The upstream states that it did not execute the request, so this is not counted as an
      // attempt and the request may be sent to another upstream.
      attemptCount--;
      if (!activeAttempts.isEmpty()) {
        return;
      }
      if (refusalCount < MAX_REFUSALS
          && bodyCanBeSentAgain()
          && retryBudget(exchange.service().name()).tryAcquire()) {
        requestRun("refused_by_upstream");
      } else {
        failIfNoActiveAttempt(ErrorCode.OVERLOADED, "upstreams refuse work");
      }
    }

    private void onCallFailed(Attempt attempt, CallFailure failure, String reason) {
      activeAttempts.remove(attempt);
      balancer.requestFailed(attempt.upstream, timers.nanos());
      metrics.countFailedCall("whole", failure.name());
      EventLog.log(
          LogEvent.CALL_FAILED,
          exchange.callerRequestId(),
          exchange.localId(),
          attempt.upstream,
          failure,
          reason);
      if (attempt.passing()) {
        if (failure == CallFailure.BROKEN) {
          crashDetector.check(attempt.target, exchange, attempt.sentNanos, crashed -> {});
        }
        end(ErrorCode.UPSTREAM_FAILED, "upstream broke off inside the response", Duration.ZERO);
        return;
      }
      attempt.releaseMemory();
      switch (failure) {
        case NOT_SENT -> {
          // The upstream did not receive the request, so this is not counted as an attempt.
          attemptCount--;
          if (activeAttempts.isEmpty()) {
            requestRun("not_connected");
          }
        }
        case BROKEN ->
            crashDetector.check(
                attempt.target, exchange, attempt.sentNanos, crashed -> retryBrokenCall());
        case GARBLED -> retryBrokenCall();
      }
    }

    private void retryBrokenCall() {
      if (closed || !activeAttempts.isEmpty()) {
        return;
      }
      if (acquireRetry()) {
        requestRun("broken_answer");
      } else {
        failIfNoActiveAttempt(ErrorCode.UPSTREAM_FAILED, "upstream broke off");
      }
    }

    /** An attempt: one call of the request to one upstream. */
    private final class Attempt extends PassingResponseListener {
      private final Instance target;
      private final UpstreamId upstream;
      private final long sentNanos;
      private final boolean isHedge;
      private @Nullable Call call;
      private boolean sent;
      private long firstPartNanos;
      private long passedBytes;

      Attempt(Instance target, long sentNanos, boolean isHedge) {
        super(fleet.buffers());
        this.isHedge = isHedge;
        this.target = target;
        this.upstream = target.upstreamId();
        this.sentNanos = sentNanos;
      }

      @Override
      public void sent() {
        sent = true;
        exchange.recordSent();
      }

      @Override
      protected boolean isFinal(HttpResponse head) {
        return ActiveRequest.this.isFinal(head);
      }

      @Override
      protected void passingBegan(BufferedResponse beginning) {
        onPassingBegan(this, beginning);
      }

      @Override
      protected void partPassed(ByteBuf part) {
        passedBytes += part.readableBytes();
        exchange.caller().sendBodyPart(part);
        applyBackpressure();
      }

      /** Reads from the upstream only while its caller reads or the node has room to buffer. */
      void applyBackpressure() {
        setAutoRead(exchange.caller().mayBuffer());
      }

      @Override
      protected void passingEnded(BufferedResponse beginning) {
        onPassingEnded(this, beginning);
      }

      @Override
      protected void setAutoRead(boolean read) {
        Call c = call;
        if (c != null) {
          c.setAutoRead(read);
        }
      }

      @Override
      protected void responseReceived(BufferedResponse response) {
        ActiveRequest.this.onResponse(this, response);
      }

      @Override
      public void failed(CallFailure failure, String reason) {
        onCallFailed(this, failure, reason);
      }
    }
  }

  /** Drops the balancer's state of upstreams that were removed. */
  void onFleetChange() {
    balancer.retainOnly(
        fleet.instances().stream().map(i -> i.upstreamId()).collect(Collectors.toSet()));
  }
}
