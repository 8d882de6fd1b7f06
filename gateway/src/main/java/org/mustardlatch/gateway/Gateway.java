package org.mustardlatch.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.lifecycle.PlannedStop;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.config.CallerLimits;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.config.GatewayRoute;
import org.mustardlatch.gateway.config.GatewayService;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.config.RequestKind;
import org.mustardlatch.gateway.http.CallerExchange;
import org.mustardlatch.gateway.http.CallerHandler;
import org.mustardlatch.gateway.http.CallerServer;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * The data path of one node: receives callers' requests, matches each with a route and passes it to
 * the handler for application requests or for generations. Also serves readiness and metrics.
 *
 * <p>Requests are handled on the event loop. {@link #start} and {@link #awaitDrained} are called on
 * other threads.
 */
public final class Gateway implements CallerHandler {
  // The load balancer stops sending new connections after two failed readiness checks, which are a
  // second apart.
  private static final Duration LOAD_BALANCER_REACTION_TIME = Duration.ofMillis(2_800);
  // A new node has received its configuration after a few reads of the store.
  private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(300);
  // Peers that are alive respond within a few round trips after this node has joined.
  private static final Duration MAX_EVIDENCE_WAIT = Duration.ofSeconds(2);
  // Left of the grace period to write the last responses and to end the process.
  private static final Duration GRACE_PERIOD_MARGIN = Duration.ofMillis(400);
  private static final Duration LAST_RESPONSES_TIME = Duration.ofMillis(100);
  // Other nodes accept the request now.
  private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(50);

  private final GatewaySettings settings;
  private final TimerService timers;
  private final FleetState fleet;
  private final PlatformProtocol protocol;
  private final Peers peers;
  private final RandomGenerator random;
  private final ApplicationRequestHandler applicationHandler;
  private final GenerationRequestHandler generationHandler;
  private final AllowanceGate allowanceGate;
  private final UnknownRouteGate unknownRoutes;
  private final RequestNames requestNames;
  private final CallerServer callerServer;
  private final PageServer readinessServer;
  private final @Nullable PageServer metricsServer;
  private final CountDownLatch drained = new CountDownLatch(1);
  private final Map<String, Long> firstAttemptTimeoutMillis = new HashMap<>();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final PlannedStop stop;
  private boolean wasReady;
  private boolean evidenceWaitOver;

  /** Creates a data path that does not accept connections until {@link #start}. */
  public Gateway(
      GatewaySettings settings,
      EventLoop loop,
      TimerService timers,
      FleetState fleet,
      PlatformProtocol protocol,
      Peers peers,
      long incarnation,
      RandomGenerator random) {
    this.settings = settings;
    this.stop = plannedStop(settings.gracePeriod());
    this.timers = timers;
    this.fleet = fleet;
    this.protocol = protocol;
    this.peers = peers;
    fleet.observeResponses(this::upstreamResponded);
    this.random = random;
    this.evidenceWaitOver = settings.peerAddress() == null;
    this.requestNames = new RequestNames(settings.host(), incarnation);
    this.generationHandler =
        new GenerationRequestHandler(
            fleet, timers, settings, protocol, random, peers, incarnation, loop, metrics);
    this.applicationHandler =
        new ApplicationRequestHandler(
            fleet,
            timers,
            settings,
            protocol,
            random,
            metrics,
            generationHandler.crashDetector(),
            generationHandler,
            () -> peers.members().size());
    this.allowanceGate = new AllowanceGate(generationHandler);
    this.unknownRoutes =
        new UnknownRouteGate(timers, fleet.configurationFreshness(), new UnknownRouteHandler());
    this.callerServer =
        new CallerServer(
            loop, timers, settings.callerAddress(), this, this::limits, fleet.buffers());
    this.readinessServer = new PageServer(loop, timers, settings.readinessAddress());
    readinessServer.addPage(settings.readinessPath(), this::readiness);
    InetSocketAddress metricsAddress = settings.metricsAddress();
    this.metricsServer =
        metricsAddress == null ? null : new PageServer(loop, timers, metricsAddress);
    if (metricsServer != null) {
      metrics.registerGauge("mustardlatch.open.requests", this::openRequests);
      metrics.registerGauge("mustardlatch.buffered.bytes", fleet.buffers()::usedBytes);
      metrics.registerGauge("mustardlatch.buffers.waiting", fleet.buffers()::waiting);
      metrics.registerGauge("mustardlatch.upstreams", () -> fleet.instances().size());
      metricsServer.addPage(
          "/metrics",
          () -> new PageServer.Page(200, "text/plain; version=0.0.4", metrics.scrape()));
    }
  }

  /**
   * Starts listening for callers, for the readiness checks of the load balancer and for metrics.
   */
  public void start() {
    fleet.onChange(this::onFleetChange);
    generationHandler.startPeers();
    timers.schedule(MAX_EVIDENCE_WAIT, this::endEvidenceWait);
    callerServer.start();
    readinessServer.start();
    if (metricsServer != null) {
      metricsServer.start();
    }
    EventLog.log(LogEvent.GATEWAY_LISTENING, settings.callerAddress(), settings.readinessAddress());
  }

  /**
   * Applies settings that were read again: the seeds. All others count from the next start. Must be
   * called on the event loop.
   */
  public void settingsChanged(GatewaySettings next) {
    generationHandler.seedsChanged(next.peerSeeds());
  }

  private void upstreamResponded(Instance target, HttpResponse head) {
    ResponseMetadata metadata = protocol.readResponse(head);
    // What listeners and the router do must not run inside the connection's handler.
    if (metadata.leaving()) {
      timers.schedule(Duration.ZERO, () -> fleet.upstreamLeaving(target));
    }
    // Only answers to requests tell that an upstream no longer states a limit.
    if (metadata.requestsPerSecond().isPresent() || metadata.requestId() != null) {
      generationHandler.limitStated(target.upstreamId(), metadata.requestsPerSecond());
    }
    Duration pause = metadata.pause();
    if (pause != null) {
      EventLog.log(LogEvent.UPSTREAM_PAUSED, target.id(), pause.toMillis());
      fleet.pause(target, pause);
      var event = new RoutingEvent.UpstreamPaused(target.upstreamId(), pause);
      timers.schedule(Duration.ZERO, () -> generationHandler.handle(event));
    }
  }

  /** Returns the address for callers, with the actual port if port 0 was configured. */
  public InetSocketAddress callerAddress() {
    return callerServer.address();
  }

  private static PlannedStop plannedStop(Duration gracePeriod) {
    Duration finishTime = gracePeriod.minus(GRACE_PERIOD_MARGIN);
    boolean isLong = finishTime.compareTo(LOAD_BALANCER_REACTION_TIME) > 0;
    return new PlannedStop(
        LOAD_BALANCER_REACTION_TIME, isLong ? finishTime : LOAD_BALANCER_REACTION_TIME);
  }

  /**
   * Reports not ready, finishes the requests in progress within the grace period and then releases
   * {@link #awaitDrained}; {@link PlannedStop} has the phases. Must be called on the event loop.
   */
  public void drain() {
    if (!stop.request(timers.nanos())) {
      return;
    }
    EventLog.log(LogEvent.DAEMON_DRAINING, openRequests());
    callerServer.drain();
    peers.leave();
    timers.schedule(LOAD_BALANCER_REACTION_TIME, this::finish);
    timers.schedule(settings.gracePeriod().minus(GRACE_PERIOD_MARGIN), this::endStop);
  }

  private int openRequests() {
    return unknownRoutes.openRequests()
        + allowanceGate.openRequests()
        + applicationHandler.openRequests()
        + generationHandler.openRequests();
  }

  private void finish() {
    EventLog.log(LogEvent.STOP_FINISHING, callerServer.connectionCount(), openRequests());
    callerServer.finish(drained::countDown);
  }

  /** Answers what can't be finished any more, and ends. */
  private void endStop() {
    EventLog.log(LogEvent.STOP_ENDING, callerServer.connectionCount(), openRequests());
    unknownRoutes.endWait();
    applicationHandler.failAll(ErrorCode.DRAINING, "this node is stopping");
    generationHandler.failAll(ErrorCode.DRAINING, "this node is stopping");
    timers.schedule(LAST_RESPONSES_TIME, drained::countDown);
  }

  /** Blocks until a drain has ended. */
  public void awaitDrained() throws InterruptedException {
    drained.await();
  }

  private void endEvidenceWait() {
    evidenceWaitOver = true;
    logIfReady();
  }

  /** Returns whether this node knows what the fleet refuses, or no peer told it in time. */
  private boolean evidenceKnown() {
    return evidenceWaitOver || generationHandler.knowsFleetEvidence();
  }

  private boolean ready() {
    return !stop.requested() && fleet.configuration() != null && evidenceKnown();
  }

  private PageServer.Page readiness() {
    logIfReady();
    if (ready()) {
      return new PageServer.Page(200, "text/plain", "ready\n");
    }
    String reason =
        stop.requested()
            ? "draining"
            : fleet.configuration() == null ? "no configuration" : "waiting for peers";
    return new PageServer.Page(503, "text/plain", reason + "\n");
  }

  private CallerLimits limits() {
    GatewayConfiguration c = fleet.configuration();
    return c == null ? CallerLimits.DEFAULT : c.limits();
  }

  private void onFleetChange() {
    applicationHandler.onFleetChange();
    generationHandler.onFleetChange();
    logIfReady();
  }

  private void logIfReady() {
    if (ready() && !wasReady) {
      wasReady = true;
      EventLog.log(
          LogEvent.GATEWAY_READY, fleet.instances().size(), generationHandler.knowsFleetEvidence());
    }
  }

  /** The body of a generation is sent to several engines, so it is held whole. */
  @Override
  public boolean mayPassThrough(HttpRequest head) {
    GatewayConfiguration c = fleet.configuration();
    GatewayRoute route = c == null ? null : findRoute(c, head);
    return route != null && route.kind() != RequestKind.STREAMING;
  }

  @Override
  public void requestReceived(CallerExchange caller) {
    GatewayConfiguration c = fleet.configuration();
    if (c == null) {
      reject(caller, ErrorCode.NOT_READY, "no configuration is known yet");
      return;
    }
    if (!evidenceKnown()) {
      reject(caller, ErrorCode.NOT_READY, "it is not known yet which requests crash upstreams");
      return;
    }
    GatewayRoute route = findRoute(c, caller.head());
    if (route == null) {
      unknownRoutes.hold(caller);
    } else {
      authenticate(caller, c, route);
    }
  }

  private static @Nullable GatewayRoute findRoute(GatewayConfiguration c, HttpRequest head) {
    return c.findRoute(head.headers().get(HttpHeaderNames.HOST, ""), head.uri());
  }

  private final class UnknownRouteHandler implements UnknownRouteGate.Handler {
    @Override
    public void confirmed(CallerExchange caller) {
      GatewayConfiguration c = fleet.configuration();
      GatewayRoute route = c == null ? null : findRoute(c, caller.head());
      if (c == null || route == null) {
        reject(caller, ErrorCode.UNKNOWN_ROUTE, "no route for this host and path");
      } else {
        authenticate(caller, c, route);
      }
    }

    @Override
    public void unconfirmed(CallerExchange caller) {
      reject(
          caller,
          ErrorCode.NOT_READY,
          "no route for this host and path, but the configuration may be out of date");
    }
  }

  private void authenticate(CallerExchange caller, GatewayConfiguration c, GatewayRoute route) {
    switch (CallerAuthentication.check(
        c,
        route,
        protocol.readApiKey(caller.head().headers()),
        fleet.configurationStoreReachable())) {
      case CallerAuthentication.Result.Rejected r -> reject(caller, r.code(), r.reason());
      case CallerAuthentication.Result.Accepted a -> start(caller, c, route, a);
    }
  }

  private void start(
      CallerExchange caller,
      GatewayConfiguration c,
      GatewayRoute route,
      CallerAuthentication.Result.Accepted authenticated) {
    RequestMetadata metadata = readMetadata(caller);
    GatewayService service =
        metadata == null ? null : c.findService(route.selectService(serviceDraw(metadata)));
    if (metadata == null || service == null) {
      reject(caller, ErrorCode.INVALID_ARGUMENT, "a header can't be read");
      return;
    }
    var exchange =
        new RoutedExchange(
            requestNames.next(),
            caller,
            metadata,
            route,
            service,
            authenticated.identity(),
            c.streamRanks().rank(route, authenticated.workspace()),
            protocol,
            firstAttemptTimeout(route, metadata),
            metrics);
    boolean accepted =
        caller.lastOnConnection()
            ? stop.endsInTime(timers.nanos(), exchange.deadlineNanos())
            : stop.accepts(timers.nanos(), exchange.deadlineNanos());
    if (!accepted) {
      exchange.fail(ErrorCode.DRAINING, "this node is stopping", STOPPING_RETRY_AFTER);
      return;
    }
    allowanceGate.pay(exchange, authenticated.workspace(), () -> dispatch(exchange));
  }

  /**
   * Returns the number from 0 to 1 that decides between the services of a route. It is the same for
   * a request and for those that resume its stream, which can't go on at another service.
   */
  private double serviceDraw(RequestMetadata metadata) {
    RequestMetadata.Resumption resumption = metadata.resumption();
    String id = resumption == null ? metadata.requestId() : resumption.firstRequestId();
    return id == null ? random.nextDouble() : GatewayRoute.drawOf(id);
  }

  private void dispatch(RoutedExchange exchange) {
    if (exchange.service().engine() != null && exchange.route().kind() == RequestKind.STREAMING) {
      generationHandler.start(exchange);
    } else {
      applicationHandler.start(exchange);
    }
  }

  /**
   * Returns the timeout of callers of a route at their first attempt: the longest one seen so far,
   * because later attempts state a shorter time. A longer one than the route's says nothing about
   * other callers.
   */
  private Duration firstAttemptTimeout(GatewayRoute route, RequestMetadata metadata) {
    Long statedMillis = metadata.timeoutMillis();
    long millis = statedMillis == null ? 0 : Math.min(statedMillis, route.timeout().toMillis());
    return Duration.ofMillis(firstAttemptTimeoutMillis.merge(route.name(), millis, Math::max));
  }

  private @Nullable RequestMetadata readMetadata(CallerExchange caller) {
    try {
      return protocol.readRequest(caller.head().headers());
    } catch (IllegalArgumentException e) {
      EventLog.log(
          LogEvent.REQUEST_UNREADABLE, caller.head().uri(), String.valueOf(e.getMessage()));
      return null;
    }
  }

  private void reject(CallerExchange caller, ErrorCode code, String reason) {
    EventLog.log(LogEvent.REQUEST_REJECTED, caller.head().uri(), code.wireName(), reason);
    Duration retryAfter = code == ErrorCode.NOT_READY ? NOT_READY_RETRY_AFTER : Duration.ZERO;
    ErrorResponse.send(caller, code.httpStatus(), code, reason, retryAfter);
  }

  @Override
  public void callerDisconnected(CallerExchange caller) {
    if (!unknownRoutes.callerDisconnected(caller)
        && !allowanceGate.callerDisconnected(caller)
        && !applicationHandler.callerDisconnected(caller)) {
      generationHandler.callerDisconnected(caller);
    }
  }
}
