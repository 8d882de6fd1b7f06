package org.mustardlatch.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.budget.QuotaBounds;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.gateway.config.CallerLimits;
import org.mustardlatch.gateway.config.EngineSpec;
import org.mustardlatch.gateway.config.EngineStage;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.config.GatewayRoute;
import org.mustardlatch.gateway.config.GatewayService;
import org.mustardlatch.gateway.config.GatewayWorkspace;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.config.RequestKind;
import org.mustardlatch.gateway.config.ServiceWeight;
import org.mustardlatch.gateway.http.NettyTimerService;
import org.mustardlatch.gateway.store.StoreResponse;
import org.mustardlatch.gateway.store.StoredEntry;

/**
 * A gateway within the test process. Its routes are /once/ (not idempotent) and /again/
 * (idempotent) to applications, /stream/ and /resumable/ to engines.
 */
final class TestGateway implements AutoCloseable {
  /** Time that a planned stop may take. */
  static final Duration GRACE_PERIOD = Duration.ofSeconds(4);

  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Gateway gateway;
  private final FleetState fleet;
  private final EventLoop loop;
  private final List<Instance> instances = new ArrayList<>();

  TestGateway() throws Exception {
    this(Duration.ZERO);
  }

  /** Creates a gateway whose engines keep capacity reserved for the given time, zero for none. */
  TestGateway(Duration maxReservationTtl) throws Exception {
    this(maxReservationTtl, List.of());
  }

  /** Creates a gateway whose operator accepts a share of second copies. */
  TestGateway(OptionalDouble maxHedgeShare) throws Exception {
    this(Duration.ZERO, List.of(), maxHedgeShare);
  }

  /** Creates a gateway with workspaces, whose additional route /public/ needs no key. */
  TestGateway(Duration maxReservationTtl, List<GatewayWorkspace> workspaces) throws Exception {
    this(maxReservationTtl, workspaces, OptionalDouble.empty());
  }

  private TestGateway(
      Duration maxReservationTtl, List<GatewayWorkspace> workspaces, OptionalDouble maxHedgeShare)
      throws Exception {
    loop = group.next();
    var timers = new NettyTimerService(loop);
    fleet = new FleetState(loop, timers);
    ZoneId zone = new ZoneId("a");
    var settings =
        new GatewaySettings(
            new HostId("node"),
            zone,
            Map.of(zone, new RegionId("r")),
            ANY_PORT,
            ANY_PORT,
            "/ready",
            null,
            null,
            List.of(),
            0.2,
            40,
            maxHedgeShare,
            QuotaBounds.DEFAULT,
            GRACE_PERIOD);
    gateway =
        new Gateway(
            settings,
            loop,
            timers,
            fleet,
            new TestProtocol(),
            new NoPeers(settings),
            1,
            new SplittableRandom(1));
    gateway.start();
    runOnEventLoop(() -> fleet.configurationListener().storeReachable(false));
    runOnEventLoop(
        () ->
            fleet
                .configurationListener()
                .objectsListed(
                    List.of(
                        new StoredEntry<>("main", configuration(maxReservationTtl, workspaces), 1)),
                    List.of()));
  }

  private static GatewayConfiguration configuration(
      Duration maxReservationTtl, List<GatewayWorkspace> workspaces) {
    return new GatewayConfiguration(
        1,
        List.of(
            route("/once/", RequestKind.NON_IDEMPOTENT, "app", false),
            route("/again/", RequestKind.IDEMPOTENT, "app", false),
            route("/stream/", RequestKind.STREAMING, "engine", false),
            route("/resumable/", RequestKind.STREAMING, "engine", true),
            route("/public/", RequestKind.IDEMPOTENT, "app", false)),
        List.of(
            new GatewayService("app", null),
            new GatewayService(
                "engine",
                new EngineSpec(8, 32_000, 1000, Duration.ofMillis(500), maxReservationTtl))),
        workspaces,
        CallerLimits.DEFAULT);
  }

  /** Applies a configuration without workspaces, as if the store had sent it. */
  void applyConfiguration(long version, List<GatewayRoute> routes, List<GatewayService> services)
      throws Exception {
    var next = new GatewayConfiguration(version, routes, services, List.of(), CallerLimits.DEFAULT);
    var change = new StoreResponse.Change.Put<>(new StoredEntry<>("main", next, version));
    runOnEventLoop(() -> fleet.configurationListener().objectChanged(change));
  }

  /** Returns a route to one service. */
  static GatewayRoute route(String prefix, RequestKind kind, String service, boolean resumable) {
    return new GatewayRoute(
        prefix,
        "host",
        prefix,
        kind,
        Duration.ofSeconds(5),
        Duration.ofSeconds(1),
        Duration.ZERO,
        List.of(new ServiceWeight(service, 1)),
        2,
        resumable,
        GatewayRoute.DEFAULT_RANK,
        prefix.equals("/public/"));
  }

  /** Registers an application upstream. */
  TestGateway addApplication(String id, ScriptedUpstream upstream) throws Exception {
    return addApplication(id, upstream.address());
  }

  /** Registers an application upstream at an address. */
  TestGateway addApplication(String id, InetSocketAddress address) throws Exception {
    return add(id, "app", address, null);
  }

  /** Registers an engine. */
  TestGateway addEngine(String id, ScriptedUpstream upstream, EngineStage stage) throws Exception {
    return addEngine(id, upstream.address(), stage);
  }

  /** Registers an engine at an address. */
  TestGateway addEngine(String id, InetSocketAddress address, EngineStage stage) throws Exception {
    return add(id, "engine", address, stage);
  }

  private TestGateway add(
      String id, String service, InetSocketAddress address, @Nullable EngineStage stage)
      throws Exception {
    add(new Instance(id, 1, service, address, "a", 8, false, stage));
    return this;
  }

  /** Registers an upstream. */
  void add(Instance instance) throws Exception {
    instances.add(instance);
    listInstances();
  }

  /**
   * Removes the entry of an upstream, as the store does if the upstream does not report in time.
   */
  void removeEntry(String id) throws Exception {
    instances.removeIf(i -> i.id().equals(id));
    listInstances();
  }

  private void listInstances() throws Exception {
    runOnEventLoop(
        () ->
            fleet
                .instanceListener()
                .objectsListed(
                    instances.stream().map(i -> new StoredEntry<>(i.id(), i, 1)).toList(),
                    List.of()));
  }

  private void runOnEventLoop(Runnable task) throws Exception {
    loop.submit(task).get(5, TimeUnit.SECONDS);
  }

  /** Stops all work of the gateway until the returned latch is released. */
  CountDownLatch pause() throws InterruptedException {
    CountDownLatch paused = new CountDownLatch(1);
    CountDownLatch resume = new CountDownLatch(1);
    loop.execute(
        () -> {
          paused.countDown();
          try {
            resume.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    paused.await();
    return resume;
  }

  /** Starts a planned stop; returns a future that completes when the process would end. */
  Future<?> drain() throws Exception {
    runOnEventLoop(gateway::drain);
    return CompletableFuture.runAsync(
        () -> {
          try {
            gateway.awaitDrained();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  /** Opens a TCP connection to the gateway. */
  Socket connect() throws IOException {
    Socket s = new Socket(InetAddress.getLoopbackAddress(), gateway.callerAddress().getPort());
    s.setSoTimeout(5_000);
    return s;
  }

  /** Sends text on a new connection and returns all bytes received until the gateway closes it. */
  String sendAndReadAll(String request) throws IOException {
    try (Socket s = connect()) {
      s.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      s.getOutputStream().flush();
      return new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
