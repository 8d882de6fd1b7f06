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
import org.mustardlatch.daemon.node.AppliedManifest;
import org.mustardlatch.daemon.node.EventLoop;
import org.mustardlatch.daemon.node.HostListService;
import org.mustardlatch.daemon.node.ManifestInForce;
import org.mustardlatch.daemon.node.ManifestService;
import org.mustardlatch.daemon.node.NodeRegistration;
import org.mustardlatch.daemon.node.NodeState;
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

/** One node: puts the services together, starts and stops them. */
public final class Daemon {
  private static final Duration DRAIN_POLL = Duration.ofMillis(20);
  private static final Duration LEDGER_DRAIN = Duration.ofSeconds(10);

  private final Settings settings;
  private final NodeState state = new NodeState();
  private final EventLoop loop = new EventLoop("routing");
  private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
  private final ManifestInForce manifest = new ManifestInForce();
  private final UpstreamHosts hosts = new UpstreamHosts();
  private final EventLoop peerLoop = new EventLoop("peers");
  private final PeerBinding peers;
  private final ObjectStoreClient store;
  private final ManifestService manifests;
  private final LedgerService ledger;
  private final RoutingService routing;
  private final UpstreamPoller poller;
  private final WorkspaceRates rates;
  private final HostListService hostList;
  private final NodeRegistration registration;
  private final CallerApi callers;
  private final OperatorApi operators;
  private final CountDownLatch drained = new CountDownLatch(1);

  /** Creates a node that is not started. */
  public Daemon(Settings settings) {
    this.settings = settings;
    long incarnation = Instant.now().toEpochMilli();
    peers = new PeerBinding(settings, incarnation, peerLoop, manifest, this::post);
    RandomGenerator random = new SecureRandom();
    NodeRouter router =
        new NodeRouter(
            settings.host(),
            settings.region(),
            incarnation,
            RandomGenerator.of("L64X128MixRandom"));
    store = new ObjectStoreClient(settings.objectServiceUrl(), ObjectStoreTimeouts.DEFAULT, loop);
    manifests = new ManifestService(new ManifestStore(store, loop, random), peers.service(), loop);
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
            random);
    AttemptOwner owner = new AttemptOwner(settings.host(), router::incarnation);
    EngineClient engines = new EngineClient(hosts, manifest, loop, calls, owner, this::post);
    routing = new RoutingService(loop, router, engines, peers.service()::send);
    poller = new UpstreamPoller(hosts, router::admittedEngines, loop, calls, this::post);
    hostList =
        new HostListService(
            store, manifest, loop, id -> post(new RoutingEvent.UpstreamLeaving(id)));
    registration =
        new NodeRegistration(
            settings.host(), store, peers.service(), loop, () -> peers.live().size());
    rates = new WorkspaceRates(peers.service(), peers, manifest, settings.region());
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    callers =
        new CallerApi(
            settings.callerAddress(),
            state,
            manifest,
            routing,
            ledger,
            new ApplicationClient(hosts),
            rates,
            new RequestMetrics(registry));
    operators =
        new OperatorApi(
            settings.operatorAddress(),
            state,
            manifest,
            new NodeInspector(
                settings, state, manifest, peers, routing, engines, () -> internals(router)),
            manifests,
            this::drain,
            registry);
  }

  /** Starts all services. The node is ready when a manifest is in force. */
  public void start() {
    EventLog.log(LogEvent.DAEMON_STARTING, settings.host(), settings.zone(), peers.incarnation());
    var unused = manifest.changes().subscribe(this::apply);
    peers.service().addListener(new ReadyListener());
    peers.service().addListener(new LedgerListener());
    peers.service().addListener(new RateListener());
    peers.service().addListener(hostList);
    registration.start(peers.service().start());
    manifests.start();
    ledger.start();
    poller.start();
    operators.start();
    callers.start();
  }

  /** Begins a graceful stop; returns at once. {@link #awaitDrained} tells when it is over. */
  public void drain() {
    if (state.enter(NodeState.Phase.DRAINING)) {
      EventLog.log(LogEvent.DAEMON_DRAINING, callers.requestsInProgress());
      loop.schedule(settings.drainDelay(), this::refuse);
    }
  }

  /** Blocks until a graceful stop has let the last request finish. */
  public void awaitDrained() throws InterruptedException {
    drained.await();
  }

  /** Closes all listeners and connections; does nothing the second time. */
  public synchronized void stop() {
    if (!state.enter(NodeState.Phase.STOPPED)) {
      return;
    }
    callers.stop();
    operators.stop();
    poller.stop();
    ledger.stop();
    manifests.stop();
    hostList.stop();
    registration.stop();
    peers.service().stop();
    store.close();
    peerLoop.stop();
    loop.stop();
    calls.shutdownNow();
  }

  /** Returns the port for callers. */
  public int callerPort() {
    return callers.port();
  }

  /** Returns the port for operators. */
  public int operatorPort() {
    return operators.port();
  }

  /** Returns the state of the parts that decide; reads the router on its own thread. */
  private Map<String, Object> internals(NodeRouter router) {
    CompletableFuture<Map<String, Object>> decisions = new CompletableFuture<>();
    loop.schedule(
        Duration.ZERO,
        () ->
            decisions.complete(
                Map.of(
                    "incarnation", router.incarnation(),
                    "open_requests", router.openRequests(),
                    "open_reservations", router.openReservations(),
                    "admitted_engines",
                        router.admittedEngines().stream().map(UpstreamId::value).toList())));
    return Map.of(
        "routing", decisions.completeOnTimeout(Map.of(), 2, TimeUnit.SECONDS).join(),
        "peers", peers.service().dump(),
        "peer_counters", peers.service().counters());
  }

  private void refuse() {
    state.enter(NodeState.Phase.REFUSING);
    post(new RoutingEvent.DrainRequested());
    awaitLast();
  }

  private void awaitLast() {
    if (callers.requestsInProgress() > 0) {
      loop.schedule(DRAIN_POLL, this::awaitLast);
    } else {
      var unused = ledger.drain(LEDGER_DRAIN).thenRun(this::leave);
    }
  }

  private void apply(AppliedManifest applied) {
    rates.refresh();
    hosts.apply(applied.manifest());
    post(new RoutingEvent.ManifestApplied(applied.revision(), applied.manifest()));
  }

  private void leave() {
    peers.service().leave();
    drained.countDown();
  }

  private LedgerLimits ledgerLimits() {
    LedgerPolicy policy = manifest.orThrow().ledger();
    return LedgerLimits.of(policy.retention(), policy.writesPerSecond());
  }

  private void post(RoutingEvent event) {
    routing.post(event);
  }

  /** Shares the rates of workspaces anew when the live nodes change. */
  private final class RateListener implements PeerServiceListener {
    @Override
    public void membersChanged(MemberList list) {
      rates.refresh();
    }
  }

  /** Passes messages about records to the ledger. */
  private final class LedgerListener implements PeerServiceListener {
    @Override
    public void received(HostId from, long incarnation, PeerMessage message) {
      if (message instanceof LedgerMessage m) {
        ledger.receive(from, incarnation, m);
      }
    }
  }

  /** Turns readiness on when the manifest in force is recent enough. */
  private final class ReadyListener implements PeerServiceListener {
    @Override
    public void configurationReady(long revision) {
      if (state.enter(NodeState.Phase.READY)) {
        EventLog.log(LogEvent.DAEMON_READY, revision);
      }
    }
  }
}
