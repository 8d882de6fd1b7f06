package org.mustardlatch.gateway.node;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.FleetState;
import org.mustardlatch.gateway.Gateway;
import org.mustardlatch.gateway.GatewaySettings;
import org.mustardlatch.gateway.NoPeers;
import org.mustardlatch.gateway.Peers;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.http.FatalErrors;
import org.mustardlatch.gateway.http.NettyTimerService;
import org.mustardlatch.gateway.http.UpstreamPool;
import org.mustardlatch.gateway.store.HttpStoreReader;
import org.mustardlatch.gateway.store.StoreWatcher;

/** A node that runs on a platform: wires its components, which all run on one event loop. */
public final class GatewayNode {
  private static final Duration STORE_CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private volatile boolean stopping;
  private final Peers peers;
  private final Gateway gateway;
  private final ConfigurationExchange configurations;
  private final StoreWatcher<Instance> instances;
  private final EventLoopMonitor monitor;

  /** Creates a node that does not run before {@link #start}. */
  public GatewayNode(PlatformComponents components) {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    FatalErrors.watch(loop, "data path", () -> stopping);
    TimerService timers = new NettyTimerService(loop);
    monitor = new EventLoopMonitor(timers);
    RandomGenerator random =
        new SplittableRandom(System.nanoTime() ^ components.settings().host().hashCode());
    FleetState fleet = new FleetState(loop, timers);
    GatewaySettings settings = components.settings();
    // Processes of a host start one after another, so the wall-clock time distinguishes them.
    long incarnation = System.currentTimeMillis();
    InetSocketAddress peerAddress = settings.peerAddress();
    peers =
        peerAddress == null
            ? new NoPeers(settings)
            : new NetworkPeers(settings, peerAddress, incarnation, timers, random, group, loop);
    var pool =
        new UpstreamPool(
            loop, timers, components.store(), STORE_CONNECT_TIMEOUT, Duration.ZERO, head -> {});
    configurations =
        new ConfigurationExchange(
            fleet,
            peers,
            components.configuration(),
            new HttpStoreReader<>(timers, pool, components.configuration()),
            timers,
            random);
    peers.onConfiguration(configurations);
    fleet.setConfigurationFreshness(configurations);
    gateway =
        new Gateway(
            settings, loop, timers, fleet, components.protocol(), peers, incarnation, random);
    instances =
        new StoreWatcher<>(
            timers,
            new HttpStoreReader<>(timers, pool, components.instances()),
            fleet.instanceListener(),
            random);
  }

  /** Starts to listen and to read the store. */
  public void start() {
    gateway.start();
    loop.execute(
        () -> {
          instances.start();
          configurations.start();
          monitor.start();
        });
  }

  /** Applies those of the settings that may change while the node runs. Returns immediately. */
  public void settingsChanged(GatewaySettings next) {
    loop.execute(() -> gateway.settingsChanged(next));
  }

  /**
   * Starts draining: the readiness check fails, and new connections are accepted only until the
   * load balancer has had time to react. Returns immediately.
   */
  public void drain() {
    loop.execute(gateway::drain);
  }

  /** Waits until draining has completed. */
  public void awaitDrained() throws InterruptedException {
    gateway.awaitDrained();
  }

  /** Closes all connections and stops the event loop. */
  public void stop() {
    stopping = true;
    monitor.stop();
    peers.stop();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
