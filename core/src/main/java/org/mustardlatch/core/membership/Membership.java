package org.mustardlatch.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.MembershipMessage;
import org.mustardlatch.core.peer.MembershipMessage.Rumor;
import org.mustardlatch.core.peer.MembershipMessage.State;

/**
 * Membership as one node sees it, design section 4.8. Deterministic: the same events, times and
 * random numbers give the same commands. Not safe for use by several threads.
 */
public final class Membership {
  /** How often a {@link MembershipEvent.Tick} is expected. */
  public static final Duration TICK_PERIOD = Duration.ofMillis(500);

  /** Ticks come a little early or late; a heartbeat that is due within this time goes out now. */
  private static final long TICK_SLACK = Duration.ofMillis(100).toNanos();

  private final NodeState node;
  private final RumorMerger merger;
  private final FailureDetector detector;
  private final Joiner joiner;
  private final RandomGenerator random;
  private MemberList reported;
  private long tickedNanos;
  private long heartbeatNanos;
  private long syncedNanos;

  /**
   * Creates the view of a node that knows nobody yet.
   *
   * @param incarnation incarnation of this process, greater than those of earlier processes under
   *     the same host name, at least 1
   * @param seeds peer addresses to join through, may include its own
   * @param random chooses seeds and partners of exchanges
   * @param nowNanos current monotonic time
   */
  public Membership(
      NodeIdentity self,
      long incarnation,
      List<String> seeds,
      RandomGenerator random,
      long nowNanos) {
    if (incarnation < 1) {
      throw new IllegalArgumentException("incarnation must be at least 1, got " + incarnation);
    }
    this.node = new NodeState(self, incarnation);
    this.merger = new RumorMerger(node);
    this.detector = new FailureDetector(node, merger);
    this.joiner = new Joiner(node, seeds, random, nowNanos);
    this.random = random;
    this.reported = node.members(nowNanos);
    this.tickedNanos = nowNanos;
    this.heartbeatNanos = nowNanos;
    this.syncedNanos = nowNanos;
    node.selfChanged(nowNanos);
  }

  /**
   * Takes one event.
   *
   * @param nowNanos current monotonic time, never less than at the call before
   * @param out receives the commands that follow from it, in order
   */
  public void handle(MembershipEvent event, long nowNanos, Consumer<MembershipCommand> out) {
    detectPause(nowNanos, out);
    switch (event) {
      case MembershipEvent.Tick e -> tick(nowNanos, out);
      case MembershipEvent.Received e -> received(e, nowNanos, out);
      case MembershipEvent.Heard e -> heard(e.from(), e.incarnation(), nowNanos);
      case MembershipEvent.NodesListed e -> joiner.listed(e.addresses());
      case MembershipEvent.RevisionInForce e -> node.revision = e.revision();
      case MembershipEvent.LeaveRequested e -> leave(nowNanos, out);
    }
    node.refreshOverlay(nowNanos);
    report(nowNanos, out);
  }

  /** Returns the current incarnation of this node. */
  public long incarnation() {
    return node.incarnation;
  }

  /** Returns the live nodes as last reported by {@link MembershipCommand.MembersChanged}. */
  public MemberList members() {
    return reported;
  }

  /** Returns whether another node answered a request to join. */
  public boolean joined() {
    return joiner.isJoined();
  }

  /** Returns the nodes that this one exchanges heartbeats with. */
  public List<HostId> neighbours() {
    return node.neighbours().stream().map(Peer::host).toList();
  }

  /** Returns the peer address of a live or recently live node, or null when it is not known. */
  public @Nullable String address(HostId host) {
    Peer p = node.peers.get(host);
    return p == null ? null : p.rumor.address();
  }

  /** Returns what is believed about a node, or null when it is not known. */
  public @Nullable State state(HostId host) {
    Peer p = node.peers.get(host);
    return p == null ? null : p.state();
  }

  /** Returns the state for a dump. */
  public Map<String, Object> dump() {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("incarnation", node.incarnation);
    all.put("refutations", node.counter);
    all.put("joined", joiner.isJoined());
    all.put("rumors_waiting", node.rumors.size());
    all.put("observers", node.observers().stream().map(HostId::value).toList());
    all.put("observed", node.observed().stream().map(p -> p.host().value()).toList());
    all.put(
        "unreachable_regions", node.regions.unreachable().stream().map(Object::toString).toList());
    Map<String, Object> known = new LinkedHashMap<>();
    node.peers.forEach(
        (host, p) ->
            known.put(
                host.value(),
                Map.of(
                    "state", p.state().name(),
                    "incarnation", p.rumor.incarnation(),
                    "counter", p.rumor.counter(),
                    "region", p.rumor.region().value(),
                    "zone", p.rumor.zone().value(),
                    "address", p.rumor.address())));
    all.put("peers", known);
    return all;
  }

  private void detectPause(long now, Consumer<MembershipCommand> out) {
    long gap = now - tickedNanos;
    if (gap <= MembershipTimes.PAUSE) {
      return;
    }
    tickedNanos = now;
    detector.forgiveSilence(now);
    if (gap >= MembershipTimes.FENCE_PAUSE) {
      merger.raiseIncarnation(node.incarnation + 1, gap, now, out);
    }
  }

  private void tick(long now, Consumer<MembershipCommand> out) {
    tickedNanos = now;
    node.refreshOverlay(now);
    joiner.tick(now, out);
    detector.tick(now, out);
    long period =
        node.rumors.isEmpty() ? MembershipTimes.HEARTBEAT : MembershipTimes.URGENT_HEARTBEAT;
    if (now - heartbeatNanos >= period - TICK_SLACK) {
      heartbeatNanos = now;
      sendHeartbeats(now, out);
    }
    if (now - syncedNanos >= MembershipTimes.SYNC_PERIOD) {
      syncedNanos = now;
      sync(out);
    }
  }

  private void sendHeartbeats(long now, Consumer<MembershipCommand> out) {
    for (HostId h : node.observers()) {
      Peer p = node.peers.get(h);
      if (p != null) {
        node.sendHeartbeat(p, now, out);
      }
    }
  }

  /** Compares views with one live neighbour and with one node that is thought dead. */
  private void sync(Consumer<MembershipCommand> out) {
    List<Peer> neighbours = new ArrayList<>(node.neighbours());
    List<Peer> dead = node.peers.values().stream().filter(p -> p.state() == State.DEAD).toList();
    for (List<Peer> candidates : List.of(neighbours, dead)) {
      if (!candidates.isEmpty()) {
        Peer p = candidates.get(random.nextInt(candidates.size()));
        out.accept(
            new MembershipCommand.Send(
                p.host(), p.rumor.address(), new MembershipMessage.Sync(node.digest())));
      }
    }
  }

  private void received(MembershipEvent.Received e, long now, Consumer<MembershipCommand> out) {
    if (!heard(e.from(), e.incarnation(), now)) {
      return;
    }
    switch (e.message()) {
      case MembershipMessage.Heartbeat m -> {
        merger.merge(m.rumors(), now, out);
        node.sendAck(e.from(), m.sequence(), now, out);
        greet(e.from(), out);
      }
      case MembershipMessage.HeartbeatAck m -> merger.merge(m.rumors(), now, out);
      case MembershipMessage.Join m -> {
        merger.merge(List.of(m.self()), now, out);
        joiner.joined();
        reply(e.from(), new MembershipMessage.View(node.view(), false), out);
      }
      case MembershipMessage.View m -> merge(e.from(), m, now, out);
      case MembershipMessage.Suspicion m -> detector.voted(e.from(), m, now);
      case MembershipMessage.Sync m -> {
        if (m.digest() != node.digest()) {
          reply(e.from(), new MembershipMessage.View(node.view(), true), out);
        }
      }
    }
  }

  /** Asks a sender that is not known for its view. */
  private void greet(HostId from, Consumer<MembershipCommand> out) {
    if (!node.peers.containsKey(from)) {
      reply(from, new MembershipMessage.Sync(node.digest()), out);
    }
  }

  private void merge(
      HostId from, MembershipMessage.View view, long now, Consumer<MembershipCommand> out) {
    merger.merge(view.rumors(), now, out);
    joiner.joined();
    if (view.replyWanted()) {
      List<Rumor> newer = newerThan(view.rumors());
      if (!newer.isEmpty()) {
        reply(from, new MembershipMessage.View(newer, false), out);
      }
    }
  }

  private List<Rumor> newerThan(List<Rumor> theirs) {
    Map<HostId, Rumor> known = new HashMap<>();
    theirs.forEach(r -> known.put(r.host(), r));
    return node.view().stream()
        .filter(
            r -> {
              Rumor other = known.get(r.host());
              if (other == null) {
                return true;
              }
              int order = RumorMerger.compare(r, other);
              return order > 0 || (order == 0 && r.state().compareTo(other.state()) > 0);
            })
        .toList();
  }

  private void reply(HostId to, MembershipMessage message, Consumer<MembershipCommand> out) {
    out.accept(new MembershipCommand.Send(to, address(to), message));
  }

  /** Returns false when the frame is of an incarnation that was superseded. */
  private boolean heard(HostId from, long incarnation, long now) {
    Peer p = node.peers.get(from);
    if (p == null) {
      return true;
    }
    if (incarnation < p.rumor.incarnation()) {
      return false;
    }
    detector.heard(p, now);
    return true;
  }

  private void leave(long now, Consumer<MembershipCommand> out) {
    node.leaving = true;
    node.selfChanged(now);
    node.neighbours().forEach(p -> node.sendHeartbeat(p, now, out));
  }

  private void report(long now, Consumer<MembershipCommand> out) {
    if (!node.membersDirty
        && node.regions.allReachable()
        && reported.unreachableRegions().isEmpty()) {
      return;
    }
    node.membersDirty = false;
    MemberList list = node.members(now);
    if (!list.equals(reported)) {
      reported = list;
      out.accept(new MembershipCommand.MembersChanged(list));
    }
  }
}
