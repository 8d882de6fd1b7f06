package org.mustardlatch.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.config.CallerLimits;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.config.GatewayRoute;
import org.mustardlatch.gateway.config.GatewayService;
import org.mustardlatch.gateway.config.RequestKind;
import org.mustardlatch.gateway.http.CallerExchange;
import org.mustardlatch.gateway.http.CallerHandler;
import org.mustardlatch.gateway.http.CallerServer;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/** The data path of one node: takes callers' requests and gives each to the path of its kind. */
public final class Gateway implements CallerHandler {
  // The load balancer sends new callers until it has missed readiness twice, a second apart.
  private static final Duration BALANCER_NOTICE = Duration.ofMillis(2_800);
  // A new node knows its configuration within a few readings of the store.
  private static final Duration NOT_READY_PAUSE = Duration.ofMillis(300);
  private static final Duration DRAIN_CHECK = Duration.ofMillis(50);
  private static final Duration END_MARGIN = Duration.ofMillis(400);

  private final GatewaySettings settings;
  private final TimerService timers;
  private final Fleet fleet;
  private final UpstreamProtocol protocol;
  private final Peers peers;
  private final RandomGenerator random;
  private final ApplicationPath applications;
  private final GenerationPath generations;
  private final CallerServer callers;
  private final PageServer pages;
  private final @Nullable PageServer metricPages;
  private final CountDownLatch drained = new CountDownLatch(1);
  private final Map<String, Long> patienceMillis = new HashMap<>();
  private long requests;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private boolean draining;
  private boolean wasReady;
  private long drainStartNanos;

  /** Creates a data path that does not listen yet. */
  public Gateway(
      GatewaySettings settings,
      EventLoop loop,
      TimerService timers,
      Fleet fleet,
      UpstreamProtocol protocol,
      Peers peers,
      long incarnation,
      RandomGenerator random) {
    this.settings = settings;
    this.timers = timers;
    this.fleet = fleet;
    this.protocol = protocol;
    this.peers = peers;
    this.random = random;
    this.applications =
        new ApplicationPath(
            fleet, timers, settings, protocol, random, metrics, () -> peers.members().size());
    this.generations =
        new GenerationPath(
            fleet, timers, settings, protocol, random, peers, incarnation, loop, metrics);
    this.callers = new CallerServer(loop, timers, settings.callerAddress(), this, this::limits);
    this.pages = new PageServer(loop, timers, settings.readinessAddress());
    pages.page(settings.readinessPath(), this::readiness);
    InetSocketAddress metricsAddress = settings.metricsAddress();
    this.metricPages = metricsAddress == null ? null : new PageServer(loop, timers, metricsAddress);
    if (metricPages != null) {
      metrics.gauge("mustardlatch.open.requests", () -> applications.open() + generations.open());
      metrics.gauge("mustardlatch.upstreams", () -> fleet.all().size());
      metricPages.page(
          "/metrics",
          () -> new PageServer.Page(200, "text/plain; version=0.0.4", metrics.scrape()));
    }
  }

  /** Listens for callers and for the load balancer. */
  public void start() {
    fleet.onChange(this::fleetChanged);
    generations.start();
    callers.start();
    pages.start();
    if (metricPages != null) {
      metricPages.start();
    }
    EventLog.log(LogEvent.GATEWAY_LISTENING, settings.callerAddress(), settings.readinessAddress());
  }

  /** Returns where it listens for callers, with the port that was chosen for port 0. */
  public InetSocketAddress callerAddress() {
    return callers.address();
  }

  /** Stops to be ready, finishes what is in progress and ends; call it on the event loop. */
  public void drain() {
    if (draining) {
      return;
    }
    draining = true;
    drainStartNanos = timers.nanos();
    EventLog.log(LogEvent.DAEMON_DRAINING, applications.open() + generations.open());
    callers.drain();
    peers.leave();
    timers.schedule(BALANCER_NOTICE, callers::closeIdle);
    timers.schedule(BALANCER_NOTICE, this::awaitEnd);
  }

  private void awaitEnd() {
    callers.closeIdle();
    long ran = timers.nanos() - drainStartNanos;
    boolean over = ran >= settings.grace().minus(END_MARGIN).toNanos();
    if (over || applications.open() + generations.open() == 0) {
      // The last answers need a moment to leave.
      timers.schedule(DRAIN_CHECK, drained::countDown);
    } else {
      timers.schedule(DRAIN_CHECK, this::awaitEnd);
    }
  }

  /** Waits until a drain has ended. */
  public void awaitDrained() throws InterruptedException {
    drained.await();
  }

  private boolean ready() {
    return !draining && fleet.configuration() != null;
  }

  private PageServer.Page readiness() {
    return ready()
        ? new PageServer.Page(200, "text/plain", "ready\n")
        : new PageServer.Page(503, "text/plain", draining ? "draining\n" : "no configuration\n");
  }

  private CallerLimits limits() {
    GatewayConfiguration c = fleet.configuration();
    return c == null ? CallerLimits.DEFAULT : c.limits();
  }

  private void fleetChanged() {
    applications.fleetChanged();
    generations.fleetChanged();
    if (ready() && !wasReady) {
      wasReady = true;
      EventLog.log(LogEvent.GATEWAY_READY, fleet.all().size());
    }
  }

  @Override
  public void request(CallerExchange caller) {
    requests++;
    GatewayConfiguration c = fleet.configuration();
    if (c == null) {
      reject(caller, ErrorCode.NOT_READY, "no configuration is known yet");
      return;
    }
    String host = caller.head().headers().get(HttpHeaderNames.HOST, "");
    GatewayRoute route = c.route(host, caller.head().uri());
    if (route == null) {
      reject(caller, ErrorCode.UNKNOWN_ROUTE, "no route for this host and path");
      return;
    }
    GatewayService service = c.service(route.service(random.nextDouble()));
    CallerRequest request = read(caller);
    if (request == null || service == null) {
      reject(caller, ErrorCode.INVALID_ARGUMENT, "a header can't be read");
      return;
    }
    var exchange =
        new Exchange(
            "r" + requests,
            caller,
            request,
            route,
            service,
            protocol,
            patience(route, request),
            metrics);
    if (service.engine() != null && route.kind() == RequestKind.STREAMING) {
      generations.start(exchange);
    } else {
      applications.start(exchange);
    }
  }

  /** Returns how long callers of a route wait at their first attempt; later ones state less. */
  private Duration patience(GatewayRoute route, CallerRequest request) {
    Long stated = request.deadlineMillis();
    long millis = stated == null ? 0 : stated;
    return Duration.ofMillis(patienceMillis.merge(route.name(), millis, Math::max));
  }

  private @Nullable CallerRequest read(CallerExchange caller) {
    try {
      return protocol.read(caller.head().headers());
    } catch (IllegalArgumentException e) {
      EventLog.log(
          LogEvent.REQUEST_UNREADABLE, caller.head().uri(), String.valueOf(e.getMessage()));
      return null;
    }
  }

  private void reject(CallerExchange caller, ErrorCode code, String reason) {
    EventLog.log(LogEvent.REQUEST_REJECTED, caller.head().uri(), code.wireName(), reason);
    Duration pause = code == ErrorCode.NOT_READY ? NOT_READY_PAUSE : Duration.ZERO;
    ErrorAnswer.send(caller, code.httpStatus(), code, reason, pause);
  }

  @Override
  public void left(CallerExchange caller) {
    if (!applications.left(caller)) {
      generations.left(caller);
    }
  }
}
