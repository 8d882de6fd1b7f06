package org.mustardlatch.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.budget.Allowance;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.routing.GenerationRequest;
import org.mustardlatch.core.routing.NodeRouter;
import org.mustardlatch.core.routing.PolicyRunner;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.config.GatewayWorkspace;
import org.mustardlatch.gateway.http.BufferedResponse;
import org.mustardlatch.gateway.http.CallerExchange;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Handles generation requests: passes them and the results of engine calls to the {@link
 * NodeRouter} as events and executes the commands that it emits.
 *
 * <p>Used on the event loop of the data path only, once the node has started.
 */
final class GenerationRequestHandler implements RunDecisions {
  /** Workspace of requests that can still get their first token within the latency target. */
  static final WorkspaceId IN_TIME = new WorkspaceId("in-time");

  /** Workspace of requests that can no longer meet the latency target; they get spare capacity. */
  static final WorkspaceId LATE = new WorkspaceId("late");

  // Predictions are uncertain, so a request that is predicted to exceed its latency target by up to
  // this fraction is accepted rather than refused.
  private static final double PREDICTION_SLACK = 0.25;

  /** Workspace of requests without one of their own, where requests have ranks or workspaces. */
  private static final WorkspaceId SHARED = new WorkspaceId("shared");

  // Callers leave a stream whose first event has not arrived after the longest of these: a fixed
  // time, a multiple of the latency target, and a multiple of the allowed gap between events.
  private static final long MIN_CALLER_WAIT_NANOS = 2_000_000_000L;
  private static final int CALLER_WAIT_TARGETS = 4;
  private static final int CALLER_WAIT_GAPS = 8;

  // A prefill and the transfer of its KV cache take at least this long.
  private static final long MIN_FIRST_TOKEN_NANOS = 150_000_000;

  // A late request waits for spare capacity for this multiple of the latency target, and is refused
  // after that.
  private static final double LATE_REQUEST_WAIT_FACTOR = 2;
  private static final double AVERAGE_OUTPUT_FRACTION_IN_MEMORY = 0.5;
  // Length hints of callers are often far off, so the estimate is a weighted mean of the hint and
  // the average hint.
  private static final double HINT_WEIGHT = 0.66;
  private static final double HINT_SMOOTHING_FACTOR = 0.05;
  private static final int HTTP_OK = 200;
  private static final int MAX_LOGGED_PARTS = 8;

  private final FleetState fleet;
  private final TimerService timers;
  private final GatewaySettings settings;
  private final RandomGenerator random;
  private final Peers peers;
  private final EventLoop eventLoop;
  private final GatewayMetrics metrics;
  private final CrashDetector crashDetector;
  private final PolicyRunner runner;
  private final NodeRouter router;
  private final Map<RequestId, GenerationStream> streams = new HashMap<>();
  private final Map<CallerExchange, GenerationStream> streamsByCaller = new HashMap<>();
  private final EngineCalls engineCalls;
  private double averageLengthHint;
  private long manifestRevision;
  private long allowancesVersion = Long.MIN_VALUE;
  private Consumer<RoutingCommand.DecideApplicationRun> applicationDecisions = c -> {};
  private Consumer<RoutingCommand.DecideApplicationStart> applicationStarts = c -> {};
  private Consumer<RoutingCommand.DecideSpend> spendDecisions = c -> {};

  GenerationRequestHandler(
      FleetState fleet,
      TimerService timers,
      GatewaySettings settings,
      PlatformProtocol protocol,
      RandomGenerator random,
      Peers peers,
      long incarnation,
      EventLoop eventLoop,
      GatewayMetrics metrics) {
    this.metrics = metrics;
    this.peers = peers;
    this.fleet = fleet;
    this.timers = timers;
    this.settings = settings;
    this.random = random;
    this.eventLoop = eventLoop;
    this.crashDetector = new CrashDetector(eventLoop, timers, fleet, metrics, this::handle);
    this.router = new NodeRouter(settings.host(), settings.region(), incarnation, random);
    router.expectNodes(settings.peerSeeds().size());
    this.engineCalls =
        new EngineCalls(fleet, timers, protocol, metrics, crashDetector, this::postEvent);
    this.runner = new PolicyRunner(timers, router, this::executeCommand);
  }

  /** Joins the fleet through these addresses from now on. */
  void seedsChanged(List<String> addresses) {
    router.expectNodes(addresses.size());
    peers.seedsChanged(addresses);
  }

  /** Starts to join the fleet and passes the events of peers to the router. */
  void startPeers() {
    peers.start(runner::handle);
  }

  /** Returns whether this node knows what the fleet knows about requests that crash upstreams. */
  boolean knowsFleetEvidence() {
    return router.knowsFleetEvidence();
  }

  /** Returns the detector that reports crashes of upstreams to the router. */
  CrashDetector crashDetector() {
    return crashDetector;
  }

  @Override
  public boolean required() {
    return router.hasCrashEvidence();
  }

  @Override
  public void handle(RoutingEvent event) {
    runner.handle(event);
  }

  @Override
  public boolean startRequired() {
    return router.hasUpstreamLimits();
  }

  @Override
  public void onDecision(
      Consumer<RoutingCommand.DecideApplicationRun> runReceiver,
      Consumer<RoutingCommand.DecideApplicationStart> startReceiver) {
    applicationDecisions = runReceiver;
    applicationStarts = startReceiver;
  }

  /** Records what an upstream states in an answer about the requests that it takes. */
  void limitStated(UpstreamId upstream, OptionalDouble requestsPerSecond) {
    if (requestsPerSecond.isPresent() || router.isLimited(upstream)) {
      postEvent(new RoutingEvent.UpstreamLimitStated(upstream, requestsPerSecond));
    }
  }

  /** Returns the number of requests in progress. */
  int openRequests() {
    return streams.size();
  }

  /** Sets the receiver of decisions on spends, delivered after the event in progress. */
  void onSpendDecision(Consumer<RoutingCommand.DecideSpend> receiver) {
    spendDecisions = receiver;
  }

  /** Passes the allowances and a manifest of the configuration and engines to the router. */
  void onFleetChange() {
    GatewayConfiguration c = fleet.configuration();
    if (c != null && c.version() != allowancesVersion) {
      allowancesVersion = c.version();
      Map<String, Allowance> allowances = new HashMap<>();
      for (GatewayWorkspace w : c.workspaces()) {
        if (w.allowance() != null) {
          allowances.put(w.name(), w.allowance());
        }
      }
      runner.handle(new RoutingEvent.AllowancesApplied(allowances, settings.quotaBounds()));
    }
    var manifest = FleetManifest.of(fleet, settings);
    if (manifest != null) {
      manifestRevision++;
      runner.handle(new RoutingEvent.ManifestApplied(manifestRevision, manifest));
    }
  }

  /** Passes a new request to the router. */
  void start(RoutedExchange exchange) {
    RequestMetadata metadata = exchange.metadata();
    long received = exchange.caller().receivedNanos();
    long target = exchange.route().latencyTarget().toNanos();
    long targetTime = received + target - exchange.earlierWaitNanos();
    boolean late = targetTime - timers.nanos() < MIN_FIRST_TOKEN_NANOS;
    boolean waitsWhenLate = mayWaitWhenLate(exchange);
    long firstTokenDeadline =
        late && !waitsWhenLate
            ? timers.nanos() + (long) (LATE_REQUEST_WAIT_FACTOR * target)
            : targetTime + (long) (PREDICTION_SLACK * target);
    firstTokenDeadline = Math.min(exchange.deadlineNanos(), firstTokenDeadline);
    long waitLimit =
        waitsWhenLate
            ? Math.max(firstTokenDeadline, callerWaitLimitNanos(exchange))
            : firstTokenDeadline;
    List<Fingerprint> parts = exchange.sharedPromptParts();
    GenerationRequest request =
        new GenerationRequest(
            new RequestId(exchange.localId()),
            workspace(exchange, waitsWhenLate, late),
            FleetManifest.modelId(exchange.service().name()),
            Math.max(1, metadata.promptTokens()),
            Math.max(1, metadata.maxOutputTokens()),
            exchange.caller().body().heldLength(),
            FleetManifest.prefixBlocks(metadata),
            exchange.fingerprint(),
            firstTokenDeadline,
            exchange.deadlineNanos(),
            exchange.route().repeatable(),
            exchange.route().maxAttempts(),
            plannedOutputTokens(metadata),
            parts,
            // Callers need not state their output, and it is not the number of events.
            false,
            exchange.rank().orElse(GenerationRequest.DEFAULT_RANK),
            waitLimit,
            streamId(exchange),
            metadata.resumption() != null);
    EventLog.log(
        LogEvent.GENERATION_ARRIVED,
        exchange.callerRequestId(),
        exchange.localId(),
        exchange.route().name(),
        metadata.promptTokens(),
        metadata.maxOutputTokens(),
        metadata.lengthHint(),
        late,
        exchange.earlierWaitNanos() / 1_000_000,
        describe(parts),
        describe(metadata.resumption()));
    GenerationStream s = new GenerationStream(exchange);
    streams.put(request.id(), s);
    streamsByCaller.put(exchange.caller(), s);
    runner.handle(new RoutingEvent.RequestArrived(request));
  }

  /**
   * Returns whether a request that cannot be on time waits for capacity as long as its caller does.
   * Deployments without ranks and workspaces keep two workspaces for requests that can be on time
   * and those that cannot.
   */
  private boolean mayWaitWhenLate(RoutedExchange exchange) {
    GatewayConfiguration c = fleet.configuration();
    return exchange.rank().isPresent() || (c != null && c.hasWorkspaces());
  }

  private static WorkspaceId workspace(
      RoutedExchange exchange, boolean waitsWhenLate, boolean late) {
    CallerIdentity identity = exchange.identity();
    if (!waitsWhenLate) {
      return late ? LATE : IN_TIME;
    }
    String name = identity == null ? null : identity.workspace();
    return name == null ? SHARED : FleetManifest.workspaceId(name);
  }

  /** Returns the time at which the caller leaves if no first event has arrived. */
  private static long callerWaitLimitNanos(RoutedExchange exchange) {
    long wait =
        Math.max(
            MIN_CALLER_WAIT_NANOS,
            Math.max(
                CALLER_WAIT_TARGETS * exchange.route().latencyTarget().toNanos(),
                CALLER_WAIT_GAPS * exchange.route().eventGapTarget().toNanos()));
    return Math.min(exchange.deadlineNanos(), exchange.caller().receivedNanos() + wait);
  }

  /** Returns what identifies the stream when its caller resumes it; null if the caller can't. */
  private static @Nullable Fingerprint streamId(RoutedExchange exchange) {
    RequestMetadata metadata = exchange.metadata();
    RequestMetadata.Resumption resumption = metadata.resumption();
    String first = resumption == null ? metadata.requestId() : resumption.firstRequestId();
    boolean mayBeResumed = resumption != null || exchange.route().repeatable();
    return mayBeResumed && first != null
        ? FleetManifest.streamId(exchange.service().name(), first)
        : null;
  }

  private static String describe(RequestMetadata.@Nullable Resumption resumption) {
    return resumption == null ? "-" : String.valueOf(resumption.firstRequestId());
  }

  /** Returns the names of the first parts of a prompt for the log, as decisions about them have. */
  private static String describe(List<Fingerprint> parts) {
    return parts.stream()
        .limit(MAX_LOGGED_PARTS)
        .map(p -> p.value().substring(0, RoutedExchange.CONTENT_ID_DIGITS))
        .collect(Collectors.joining(","));
  }

  /**
   * Returns the number of output tokens to plan KV memory for. Outputs grow while they are
   * generated, so on average half of each output is in memory. Without a length hint, returns the
   * maximum output.
   */
  private int plannedOutputTokens(RequestMetadata metadata) {
    if (metadata.lengthHint() <= 0) {
      return Math.max(1, metadata.maxOutputTokens());
    }
    double average = averageLengthHint == 0 ? metadata.lengthHint() : averageLengthHint;
    averageLengthHint = average + HINT_SMOOTHING_FACTOR * (metadata.lengthHint() - average);
    double expected = HINT_WEIGHT * metadata.lengthHint() + (1 - HINT_WEIGHT) * average;
    return (int)
        Math.clamp(
            expected * AVERAGE_OUTPUT_FRACTION_IN_MEMORY,
            1,
            Math.max(1, metadata.maxOutputTokens()));
  }

  /**
   * Cancels the request of a caller that disconnected.
   *
   * @return whether this handler had a request of that caller
   */
  boolean callerDisconnected(CallerExchange caller) {
    GenerationStream s = streamsByCaller.get(caller);
    if (s == null) {
      return false;
    }
    s.exchange.recordOutcome("caller_left", null, 0);
    removeStream(s);
    runner.handle(new RoutingEvent.CallerDisconnected(s.id));
    return true;
  }

  /** Ends all requests with an error; streams that have begun are broken off. */
  void failAll(ErrorCode code, String reason) {
    for (GenerationStream s : List.copyOf(streams.values())) {
      removeStream(s);
      runner.handle(new RoutingEvent.CallerDisconnected(s.id));
      s.exchange.fail(code, reason, Duration.ZERO);
    }
  }

  private void removeStream(GenerationStream s) {
    streams.remove(s.id);
    streamsByCaller.remove(s.exchange.caller());
  }

  /** Passes an event to the router after the event in progress has been processed. */
  void postEvent(RoutingEvent event) {
    eventLoop.execute(() -> runner.handle(event));
  }

  private void executeCommand(RoutingCommand command) {
    switch (command) {
      case RoutingCommand.ReserveEngine c ->
          withStream(c.attempt(), s -> engineCalls.reserve(s, c));
      case RoutingCommand.StartPrefill c ->
          withStream(c.attempt(), s -> engineCalls.startPrefill(s, c));
      case RoutingCommand.StartDecode c ->
          withStream(c.attempt(), s -> engineCalls.startDecode(s, c));
      case RoutingCommand.CancelAttempt c -> engineCalls.cancel(c);
      case RoutingCommand.ReleaseKv c -> engineCalls.releaseKv(c.handle());
      case RoutingCommand.Refuse c -> refuse(c);
      case RoutingCommand.Complete c -> complete(c.request());
      case RoutingCommand.Explain c -> logDecision(c);
      case RoutingCommand.SendPeerMessage c -> peers.send(c.to(), c.message());
      case RoutingCommand.CancelOrphanedAttempt c -> {
        // Engines cancel the work of a dead node themselves when its connections close.
      }
      case RoutingCommand.DecideApplicationRun c ->
          eventLoop.execute(() -> applicationDecisions.accept(c));
      case RoutingCommand.DecideApplicationStart c ->
          eventLoop.execute(() -> applicationStarts.accept(c));
      case RoutingCommand.DecideSpend c -> eventLoop.execute(() -> spendDecisions.accept(c));
      case RoutingCommand.SetTimer c ->
          throw new IllegalStateException("timer command not handled by PolicyRunner: " + c);
      case RoutingCommand.CancelTimer c ->
          throw new IllegalStateException("timer command not handled by PolicyRunner: " + c);
    }
  }

  private void logDecision(RoutingCommand.Explain c) {
    GenerationStream s = streams.get(c.request());
    String caller = s == null ? "-" : s.exchange.callerRequestId();
    metrics.countDecision(c.rule());
    EventLog.log(LogEvent.DECISION, caller, c.request(), c.rule(), c.detail());
  }

  private void withStream(AttemptId attempt, Consumer<GenerationStream> action) {
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
    removeStream(s);
    BufferedResponse failed = s.lastErrorResponse;
    if (failed != null && !s.exchange.caller().responseStarted()) {
      s.exchange.sendResponse(failed, "last_server_error");
    } else {
      // Engines refuse a prompt that is larger than their memory like any other while they are
      // full.
      boolean tooLong = c.code() == ErrorCode.PROMPT_TOO_LONG;
      Duration retryAfter = c.retryAfter();
      s.exchange.fail(
          tooLong ? ErrorCode.OVERLOADED : c.code(),
          c.detail(),
          retryAfter.isZero() && !tooLong
              ? retryAfter
              : RetryLimits.retryAfter(s.exchange, timers.nanos(), random));
    }
  }

  private void complete(RequestId id) {
    GenerationStream s = streams.get(id);
    if (s != null) {
      removeStream(s);
      s.logTiming();
      metrics.recordLongestPause(s.timing.longestPauseNanos());
      s.exchange.recordOutcome("completed", null, HTTP_OK);
      s.exchange.caller().endResponse();
    }
  }
}
