package org.mustardlatch.wire;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.budget.BudgetTerms;
import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.core.peer.EvidenceMessage;
import org.mustardlatch.core.peer.PeerMessage;

/** Tests transport, membership, manifest rollout and budgets together over real sockets. */
class PeerNodeTest {
  private static final class Recorder implements PeerNodeListener {
    final ConcurrentLinkedQueue<PeerMessage> received = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Throwable> errors = new ConcurrentLinkedQueue<>();
    volatile long acceptedRevision;

    @Override
    public void membersChanged(MemberList list) {}

    @Override
    public void nodeSuspected(HostId host) {}

    @Override
    public void fenced(long incarnation, long pausedNanos) {}

    @Override
    public boolean applyManifest(long revision, String text) {
      return true;
    }

    @Override
    public void manifestAccepted(long revision) {
      acceptedRevision = revision;
    }

    @Override
    public void manifestWatchChanged(boolean watch) {}

    @Override
    public void configurationReady(long revision) {}

    @Override
    public void messageReceived(HostId from, long incarnation, PeerMessage message) {
      received.add(message);
    }

    @Override
    public void unexpectedError(Throwable error) {
      errors.add(error);
    }
  }

  private final ThreadPoolTimerService timers = new ThreadPoolTimerService(1);
  private final List<PeerNode> nodes = new ArrayList<>();
  private final List<Recorder> recorders = new ArrayList<>();

  @AfterEach
  void stopAll() {
    nodes.forEach(PeerNode::stop);
    timers.close();
    recorders.forEach(r -> assertThat(r.errors).isEmpty());
  }

  private InetSocketAddress start(int number, List<String> seeds) {
    Recorder recorder = new Recorder();
    PeerNode node =
        new PeerNode(
            new PeerNodeOptions(
                new HostId("n" + number),
                new RegionId(number % 2 == 0 ? "r0" : "r1"),
                new ZoneId("z"),
                1,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                null,
                seeds,
                null,
                null),
            timers,
            new Random(number),
            recorder);
    nodes.add(node);
    recorders.add(recorder);
    return node.start();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    CountDownLatch neverReleased = new CountDownLatch(1);
    for (int i = 0; i < 4_000 && !condition.getAsBoolean(); i++) {
      assertThat(neverReleased.await(10, TimeUnit.MILLISECONDS)).isFalse();
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  @Test
  void nodesJoinDistributeManifestsAndEvidenceAndDetectALeavingNode() throws Exception {
    InetSocketAddress first = start(0, List.of());
    String seed = first.getAddress().getHostAddress() + ":" + first.getPort();
    for (int i = 1; i < 5; i++) {
      start(i, List.of(seed));
    }
    await(() -> nodes.stream().allMatch(n -> n.members().members().size() == 5));
    nodes.get(3).manifestPublished(1, "one");
    await(() -> nodes.stream().allMatch(n -> n.activeRevision() == 1 && n.configurationReady()));
    await(() -> recorders.get(3).acceptedRevision == 1);
    EvidenceMessage notice = new EvidenceMessage.LeavingNotice(new UpstreamId("u"));
    nodes.get(1).broadcast(notice);
    await(() -> recorders.stream().filter(r -> r.received.contains(notice)).count() == 4);
    nodes.get(2).send(new HostId("n2"), notice);
    await(() -> recorders.get(2).received.size() == 2);
    nodes.forEach(n -> n.configureBudgets(Map.of("b", BudgetTerms.perSecond(100))));
    AtomicInteger granted = new AtomicInteger();
    nodes.forEach(n -> n.spend("b", 1, ok -> granted.addAndGet(ok ? 1 : 100)));
    await(() -> granted.get() == 5);
    nodes.get(4).leave();
    await(() -> nodes.stream().limit(4).allMatch(n -> n.members().members().size() == 4));
    assertThat(nodes.get(0).dump()).containsKey("membership");
  }
}
