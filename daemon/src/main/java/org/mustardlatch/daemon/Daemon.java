package org.mustardlatch.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.ledger.KeyedRequestTimeouts;
import org.mustardlatch.core.ledger.LedgerLimits;
import org.mustardlatch.core.manifest.LedgerPolicy;
import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.LedgerMessage;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.routing.NodeRouter;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.settings.Settings;
import org.mustardlatch.daemon.caller.CallerApi;
import org.mustardlatch.daemon.ledger.LedgerService;
import org.mustardlatch.daemon.ledger.LedgerSettings;
import org.mustardlatch.daemon.node.ActiveManifest;
import org.mustardlatch.daemon.node.AppliedManifest;
import org.mustardlatch.daemon.node.EventLoop;
import org.mustardlatch.daemon.node.HostListPoller;
import org.mustardlatch.daemon.node.ManifestService;
import org.mustardlatch.daemon.node.NodeRegistration;
import org.mustardlatch.daemon.node.NodeState;
import org.mustardlatch.daemon.node.ReadinessMonitor;
import org.mustardlatch.daemon.operator.NodeInspector;
import org.mustardlatch.daemon.operator.OperatorApi;
import org.mustardlatch.daemon.operator.RequestMetrics;
import org.mustardlatch.daemon.peer.PeerServiceListener;
import org.mustardlatch.daemon.routing.RoutingService;
import org.mustardlatch.daemon.store.ManifestStore;
import org.mustardlatch.daemon.store.ObjectStoreClient;
import org.mustardlatch.daemon.store.ObjectStoreTimeouts;
import org.mustardlatch.daemon.upstream.ApplicationClient;
import org.mustardlatch.daemon.upstream.AttemptOwner;
import org.mustardlatch.daemon.upstream.EngineClient;
import org.mustardlatch.daemon.upstream.UpstreamHosts;
import org.mustardlatch.daemon.upstream.UpstreamPoller;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/** One node of the router. Creates, connects, starts and stops the services of the node. */
public final class Daemon {
  private static final Duration DRAIN_POLL_PERIOD = Duration.ofMillis(20);
  private static final Duration LEDGER_DRAIN_TIMEOUT = Duration.ofSeconds(10);

  private final Settings settings;
  private final NodeState state = new NodeState();
  private final EventLoop routingLoop = new EventLoop("routing");
  private final ExecutorService callExecutor = Executors.newVirtualThreadPerTaskExecutor();
  private final ActiveManifest manifest = new ActiveManifest();
  private final UpstreamHosts upstreamHosts = new UpstreamHosts();
  private final EventLoop peerLoop = new EventLoop("peers");
  private final PeerBinding peers;
  private final ObjectStoreClient store;
  private final ManifestService manifestService;
  private final LedgerService ledger;
  private final RoutingService routing;
  private final UpstreamPoller upstreamPoller;
  private final WorkspaceRateLimiter workspaceRateLimiter;
  private final HostListPoller hostListPoller;
  private final NodeRegistration registration;
  private final ReadinessMonitor readinessMonitor;
  private final CallerApi callerApi;
  private final OperatorApi operatorApi;
  private final CountDownLatch drained = new CountDownLatch(1);

  /** Creates a node that is not started yet. */
  public Daemon(Settings settings) {
    this.settings = settings;
    long incarnation = Instant.now().toEpochMilli();
    peers = new PeerBinding(settings, incarnation, peerLoop, manifest, this::post);
    RandomGenerator secureRandom = new SecureRandom();
    NodeRouter router =
        new NodeRouter(
            settings.host(),
            settings.region(),
            incarnation,
            RandomGenerator.of("L64X128MixRandom"));
    store =
        new ObjectStoreClient(
            settings.objectServiceUrl(), ObjectStoreTimeouts.DEFAULT, routingLoop);
    manifestService =
        new ManifestService(
            new ManifestStore(store, routingLoop, secureRandom), peers.service(), routingLoop);
    ledger =
        new LedgerService(
            new LedgerSettings(
                settings.host(),
                Optional.empty(),
                this::ledgerLimits,
                KeyedRequestTimeouts.DEFAULT),
            peers,
            store,
            Optional.of(peers.service()::send),
            InstantSource.system(),
            secureRandom);
    AttemptOwner owner = new AttemptOwner(settings.host(), router::incarnation);
    EngineClient engines =
        new EngineClient(upstreamHosts, manifest, routingLoop, callExecutor, owner, this::post);
    routing = new RoutingService(routingLoop, router, engines, peers.service()::send);
    upstreamPoller =
        new UpstreamPoller(
            upstreamHosts, router::admittedEngines, routingLoop, callExecutor, this::post);
    hostListPoller =
        new HostListPoller(
            store, manifest, routingLoop, id -> post(new RoutingEvent.UpstreamLeaving(id)));
    registration =
        new NodeRegistration(
            settings.host(), store, peers.service(), routingLoop, () -> peers.liveMembers().size());
    readinessMonitor =
        new ReadinessMonitor(
            routingLoop, router::knowsFleetEvidence, this::isOnlyNode, this::becomeReady);
    workspaceRateLimiter =
        new WorkspaceRateLimiter(peers.service(), peers, manifest, settings.region());
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    callerApi =
        new CallerApi(
            settings.callerAddress(),
            state,
            manifest,
            routing,
            ledger,
            new ApplicationClient(upstreamHosts),
            workspaceRateLimiter,
            new RequestMetrics(registry));
    operatorApi =
        new OperatorApi(
            settings.operatorAddress(),
            state,
            manifest,
            new NodeInspector(
                settings, state, manifest, peers, routing, engines, () -> dumpInternals(router)),
            manifestService,
            this::drain,
            registry);
  }

  /** Starts all services. The node becomes ready as {@link ReadinessMonitor} describes. */
  public void start() {
    EventLog.log(LogEvent.DAEMON_STARTING, settings.host(), settings.zone(), peers.incarnation());
    var unused = manifest.changes().subscribe(this::applyManifest);
    peers.service().addListener(new ReadinessListener());
    peers.service().addListener(new LedgerListener());
    peers.service().addListener(new WorkspaceRateListener());
    peers.service().addListener(hostListPoller);
    registration.start(peers.service().start());
    readinessMonitor.start();
    manifestService.start();
    ledger.start();
    upstreamPoller.start();
    operatorApi.start();
    callerApi.start();
  }

  /** Begins a graceful stop and returns immediately; {@link #awaitDrained} waits for its end. */
  public void drain() {
    if (state.enter(NodeState.Phase.DRAINING)) {
      EventLog.log(LogEvent.DAEMON_DRAINING, callerApi.requestsInProgress());
      routingLoop.schedule(settings.drainDelay(), this::refuseNewRequests);
    }
  }

  /**
   * Blocks until a graceful stop has finished the last request in progress, has stored the records
   * of the ledger or waited 10 s for that, and has announced the stop to the peers.
   */
  public void awaitDrained() throws InterruptedException {
    drained.await();
  }

  /** Closes all listening sockets and connections. Calls after the first do nothing. */
  public synchronized void stop() {
    if (!state.enter(NodeState.Phase.STOPPED)) {
      return;
    }
    callerApi.stop();
    operatorApi.stop();
    upstreamPoller.stop();
    ledger.stop();
    manifestService.stop();
    hostListPoller.stop();
    registration.stop();
    readinessMonitor.stop();
    peers.service().stop();
    store.close();
    peerLoop.stop();
    routingLoop.stop();
    callExecutor.shutdownNow();
  }

  /** Returns the port of the caller API. */
  public int callerPort() {
    return callerApi.port();
  }

  /** Returns the port of the operator API. */
  public int operatorPort() {
    return operatorApi.port();
  }

  /**
   * Returns the internal state of routing and peers for a dump. The router is read on the routing
   * thread; its part is empty if that thread does not respond within 2 s.
   */
  private Map<String, Object> dumpInternals(NodeRouter router) {
    CompletableFuture<Map<String, Object>> routingState = new CompletableFuture<>();
    routingLoop.schedule(
        Duration.ZERO,
        () ->
            routingState.complete(
                Map.of(
                    "incarnation", router.incarnation(),
                    "open_requests", router.openRequests(),
                    "open_reservations", router.openReservations(),
                    "admitted_engines",
                        router.admittedEngines().stream().map(UpstreamId::value).toList())));
    return Map.of(
        "routing", routingState.completeOnTimeout(Map.of(), 2, TimeUnit.SECONDS).join(),
        "peers", peers.service().dump(),
        "peer_counters", peers.service().counters());
  }

  private void refuseNewRequests() {
    state.enter(NodeState.Phase.REFUSING);
    post(new RoutingEvent.DrainRequested());
    awaitLastRequest();
  }

  private void awaitLastRequest() {
    if (callerApi.requestsInProgress() > 0) {
      routingLoop.schedule(DRAIN_POLL_PERIOD, this::awaitLastRequest);
    } else {
      var unused = ledger.drain(LEDGER_DRAIN_TIMEOUT).thenRun(this::leavePeers);
    }
  }

  private void applyManifest(AppliedManifest applied) {
    workspaceRateLimiter.updateBudgets();
    upstreamHosts.apply(applied.manifest());
    post(new RoutingEvent.ManifestApplied(applied.revision(), applied.manifest()));
  }

  private void leavePeers() {
    peers.service().leave();
    drained.countDown();
  }

  private LedgerLimits ledgerLimits() {
    LedgerPolicy policy = manifest.currentOrThrow().ledger();
    return LedgerLimits.of(policy.retention(), policy.writesPerSecond());
  }

  private void post(RoutingEvent event) {
    routing.post(event);
  }

  /** Recomputes this region's share of the workspace rates when the live nodes change. */
  private final class WorkspaceRateListener implements PeerServiceListener {
    @Override
    public void membersChanged(MemberList list) {
      workspaceRateLimiter.updateBudgets();
    }
  }

  /** Forwards ledger messages from peers to the ledger service. */
  private final class LedgerListener implements PeerServiceListener {
    @Override
    public void messageReceived(HostId from, long incarnation, PeerMessage message) {
      if (message instanceof LedgerMessage m) {
        ledger.receive(from, incarnation, m);
      }
    }
  }

  private boolean isOnlyNode() {
    return registration.isOnlyNode() && peers.liveMembers().size() < 2;
  }

  private void becomeReady(long revision) {
    if (state.enter(NodeState.Phase.READY)) {
      EventLog.log(LogEvent.DAEMON_READY, revision);
    }
  }

  private final class ReadinessListener implements PeerServiceListener {
    @Override
    public void configurationReady(long revision) {
      readinessMonitor.manifestReady(revision);
    }
  }
}
