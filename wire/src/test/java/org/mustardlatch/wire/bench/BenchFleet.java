package org.mustardlatch.wire.bench;

import com.sun.management.OperatingSystemMXBean;
import io.netty.channel.EventLoopGroup;
import io.netty.util.internal.PlatformDependent;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.wire.PeerNode;
import org.mustardlatch.wire.PeerNodeOptions;
import org.mustardlatch.wire.TestCertificates;
import org.mustardlatch.wire.ThreadPoolTimerService;

/**
 * Benchmark of a fleet of one size. Starts all nodes in this process, measures them without load,
 * with requests and with configuration changes, and measures how fast killed nodes are detected.
 */
final class BenchFleet implements AutoCloseable {
  private static final int ZONES = 7;
  private static final int ZONES_OF_FIRST_REGION = 4;
  private static final int ROUNDS_PER_SECOND = 4;
  private static final int CONNECT_PERIOD_MILLIS = 8;
  private static final long MAX_MILLIS = 600_000;

  private final int size;
  private final BenchOptions options;
  private final TestCertificates authority;
  private final EventLoopGroup group;
  private final ThreadPoolTimerService timers = new ThreadPoolTimerService(1);
  private final Random random = new Random(1);
  private final List<PeerNode> nodes = new ArrayList<>();
  private final List<RecordingListener> recorders = new ArrayList<>();
  private final AtomicLong errorCount = new AtomicLong();
  private final Histogram activationMillis = new ConcurrentHistogram(MAX_MILLIS, 3);
  private final Histogram detectionMillis = new Histogram(MAX_MILLIS, 3);
  private final long deadlineNanos;
  private volatile long publishedNanos;
  private volatile long publishedRevision;
  private final CountDownLatch neverReleased = new CountDownLatch(1);

  BenchFleet(int size, BenchOptions options, TestCertificates authority, EventLoopGroup group) {
    this.size = size;
    this.options = options;
    this.authority = authority;
    this.group = group;
    this.deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(options.limitSeconds);
  }

  BenchResult run() throws InterruptedException {
    long start = System.nanoTime();
    joinNodes();
    final double joinSeconds = (System.nanoTime() - start) / 1e9;
    showProgress("settling");
    pause(5_000);
    showProgress("steady phase");
    final BenchResult.Phase steady = measure(() -> pause(options.steadySeconds * 1_000L));
    showProgress("connections for requests");
    final List<List<HostId>> targets = openConnections();
    showProgress("requests");
    final BenchResult.Phase loaded = measure(() -> sendRequests(targets));
    showProgress("configuration changes");
    final BenchResult.Phase changing = measure(this::publishChanges);
    showProgress("kills");
    killNodes();
    showProgress("");
    return new BenchResult(
        size,
        joinSeconds,
        steady,
        loaded,
        changing,
        activationMillis,
        detectionMillis,
        refusalsAndDrops(),
        recorders.stream().mapToLong(r -> r.suspicionCount).sum(),
        errorCount.get());
  }

  private void joinNodes() throws InterruptedException {
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      InetSocketAddress bound = startNode(i, seeds);
      if (i < 3) {
        seeds.add(bound.getAddress().getHostAddress() + ":" + bound.getPort());
      }
      pause(1_000 / options.joinsPerSecond);
    }
    await("join", () -> recorders.stream().allMatch(r -> r.memberCount() == size));
  }

  private InetSocketAddress startNode(int i, List<String> seeds) {
    String name = "n" + i;
    int zone = i % ZONES;
    RecordingListener recorder = new RecordingListener(errorCount, this::revisionApplied);
    PeerNode node =
        new PeerNode(
            new PeerNodeOptions(
                new HostId(name),
                new RegionId(inFirstRegion(i) ? "r0" : "r1"),
                new ZoneId("z" + zone),
                System.currentTimeMillis(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                null,
                seeds,
                authority.issue(name),
                group),
            timers,
            new Random(i),
            recorder);
    nodes.add(node);
    recorders.add(recorder);
    return node.start();
  }

  private void revisionApplied(long revision, long atNanos) {
    if (revision == publishedRevision) {
      activationMillis.recordValue(Math.min(MAX_MILLIS, (atNanos - publishedNanos) / 1_000_000));
    }
  }

  /**
   * Opens the connections for requests one by one, because simultaneous handshakes would stall the
   * few event loop threads.
   */
  private List<List<HostId>> openConnections() throws InterruptedException {
    List<List<HostId>> targets = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      PeerNode node = nodes.get(i);
      recorders.get(i).messageSender = node::send;
      targets.add(chooseTargets(i));
      for (HostId to : targets.get(i)) {
        node.send(to, BenchMessages.reserve(i));
        pause(CONNECT_PERIOD_MILLIS);
      }
    }
    pause(2_000);
    return targets;
  }

  /** Sends reservation requests from each node to nodes of its region, as an entry node does. */
  private void sendRequests(List<List<HostId>> targets) throws InterruptedException {
    int rounds = options.steadySeconds * ROUNDS_PER_SECOND;
    long start = System.nanoTime();
    for (int round = 1; round <= rounds; round++) {
      for (int i = 0; i < size; i++) {
        List<HostId> hosts = targets.get(i);
        for (int k = 0; k < options.requestsPerSecond / ROUNDS_PER_SECOND; k++) {
          HostId to = hosts.get(random.nextInt(hosts.size()));
          nodes.get(i).send(to, BenchMessages.reserve(random.nextLong(1L << 40)));
        }
      }
      long roundEndNanos = start + round * (TimeUnit.SECONDS.toNanos(1) / ROUNDS_PER_SECOND);
      pause(Math.max(0, (roundEndNanos - System.nanoTime()) / 1_000_000));
    }
  }

  private List<HostId> chooseTargets(int i) {
    List<Integer> others = new ArrayList<>();
    for (int k = 0; k < size; k++) {
      if (k != i && inFirstRegion(k) == inFirstRegion(i)) {
        others.add(k);
      }
    }
    Collections.shuffle(others, random);
    return others.stream().limit(options.partners).map(k -> new HostId("n" + k)).toList();
  }

  private static boolean inFirstRegion(int i) {
    return i % ZONES < ZONES_OF_FIRST_REGION;
  }

  private void publishChanges() throws InterruptedException {
    for (int c = 1; c <= options.changes; c++) {
      publishedRevision = c;
      publishedNanos = System.nanoTime();
      nodes
          .get(random.nextInt(size))
          .manifestPublished(c, ManifestGenerator.text(options.engines, c));
      pause(3_000);
    }
    long last = options.changes;
    await("last change", () -> nodes.stream().allMatch(n -> n.activeRevision() == last));
  }

  private void killNodes() throws InterruptedException {
    for (int k = 0; k < options.kills; k++) {
      int index = nodes.size() - 1;
      HostId host = new HostId("n" + index);
      PeerNode node = nodes.remove(index);
      recorders.remove(index);
      long killedNanos = System.nanoTime();
      node.stop();
      await("kill", () -> recorders.stream().noneMatch(r -> r.hasMember(host)));
      for (RecordingListener r : recorders) {
        detectionMillis.recordValue(
            Math.min(MAX_MILLIS, Math.max(0, r.membersChangedNanos - killedNanos) / 1_000_000));
      }
    }
  }

  private interface Workload {
    void run() throws InterruptedException;
  }

  private BenchResult.Phase measure(Workload work) throws InterruptedException {
    Map<String, Long> before = counterTotals();
    long cpu = processCpuNanos();
    final long start = System.nanoTime();
    work.run();
    final double seconds = (System.nanoTime() - start) / 1e9;
    final double used = (processCpuNanos() - cpu) / 1e9;
    Map<String, Long> after = counterTotals();
    System.gc();
    Runtime r = Runtime.getRuntime();
    return new BenchResult.Phase(
        used / seconds / size,
        ratePerNode(before, after, "bytes_sent", seconds),
        ratePerNode(before, after, "bytes_received", seconds),
        ratePerNode(before, after, "frames_sent", seconds),
        (double) (r.totalMemory() - r.freeMemory()) / size,
        (double) PlatformDependent.usedDirectMemory() / size,
        meanConnections());
  }

  private double meanConnections() {
    return nodes.stream().mapToInt(PeerNode::connectionCount).average().orElse(0);
  }

  private double ratePerNode(
      Map<String, Long> before, Map<String, Long> after, String name, double seconds) {
    return (after.getOrDefault(name, 0L) - before.getOrDefault(name, 0L)) / seconds / size;
  }

  private Map<String, Long> counterTotals() {
    Map<String, Long> sum = new LinkedHashMap<>();
    nodes.forEach(n -> n.counters().snapshot().forEach((k, v) -> sum.merge(k, v, Long::sum)));
    return sum;
  }

  private Map<String, Long> refusalsAndDrops() {
    Map<String, Long> found = new LinkedHashMap<>();
    counterTotals()
        .forEach(
            (k, v) -> {
              if (v > 0
                  && (k.startsWith("refused_")
                      || k.startsWith("silent")
                      || k.startsWith("queue_"))) {
                found.put(k, v);
              }
            });
    return found;
  }

  private static long processCpuNanos() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  private void await(String what, BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new IllegalStateException(
            what + " not finished within " + options.limitSeconds + " s at " + size + " nodes");
      }
      showProgress(what);
      pause(100);
    }
  }

  private void pause(long millis) throws InterruptedException {
    if (neverReleased.await(millis, TimeUnit.MILLISECONDS)) {
      throw new IllegalStateException("latch is never released");
    }
  }

  private void showProgress(String phase) {
    System.err.printf("\r%-60s", phase.isEmpty() ? "" : size + " nodes: " + phase);
    System.err.flush();
  }

  @Override
  public void close() {
    nodes.forEach(PeerNode::stop);
    timers.close();
  }
}
