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
 * Membership protocol of one node (design section 4.8): keeps the list of live nodes by heartbeats,
 * rumors and periodic comparison of views (the rumors that a node has on record). Deterministic:
 * the same events, times and random numbers give the same commands. Not thread-safe.
 */
public final class Membership {
  /** Expected interval between {@link MembershipEvent.Tick}s. */
  public static final Duration TICK_PERIOD = Duration.ofMillis(500);

  /**
   * Tolerance for early ticks: a heartbeat that is due within this time is sent at the current
   * tick.
   */
  private static final long TICK_TOLERANCE = Duration.ofMillis(100).toNanos();

  private final MembershipState state;
  private final RumorMerger merger;
  private final FailureDetector detector;
  private final FleetJoiner joiner;
  private final RandomGenerator random;
  private MemberList reportedMembers;
  private long lastTickNanos;
  private long lastHeartbeatNanos;
  private long lastSyncNanos;

  /**
   * Creates the membership of a node that has not joined yet.
   *
   * @param incarnation incarnation of this process, at least 1 and greater than those of earlier
   *     processes under the same host name
   * @param seeds peer addresses to join through; may include this node's own
   * @param random source for the choice of seeds and of peers to compare views with
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
    this.state = new MembershipState(self, incarnation);
    this.merger = new RumorMerger(state);
    this.detector = new FailureDetector(state, merger);
    this.joiner = new FleetJoiner(state, seeds, random, nowNanos);
    this.random = random;
    this.reportedMembers = state.members(nowNanos);
    this.lastTickNanos = nowNanos;
    this.lastHeartbeatNanos = nowNanos;
    this.lastSyncNanos = nowNanos;
    state.selfRumorChanged(nowNanos);
  }

  /**
   * Handles one event.
   *
   * @param nowNanos current monotonic time, never less than in the previous call
   * @param out receives the resulting commands in order
   */
  public void handle(MembershipEvent event, long nowNanos, Consumer<MembershipCommand> out) {
    detectPause(nowNanos, out);
    switch (event) {
      case MembershipEvent.Tick e -> tick(nowNanos, out);
      case MembershipEvent.MessageReceived e -> handleMessage(e, nowNanos, out);
      case MembershipEvent.FrameReceived e -> recordFrame(e.from(), e.incarnation(), nowNanos);
      case MembershipEvent.NodesListed e -> joiner.updateListedAddresses(e.addresses());
      case MembershipEvent.SeedsChanged e -> joiner.updateSeeds(e.addresses(), nowNanos);
      case MembershipEvent.ActiveRevisionChanged e -> state.activeRevision = e.revision();
      case MembershipEvent.LeaveRequested e -> leave(nowNanos, out);
    }
    state.refreshNeighbours(nowNanos);
    reportMembers(nowNanos, out);
  }

  /** Returns the current incarnation of this node. */
  public long incarnation() {
    return state.incarnation;
  }

  /** Returns the live nodes as last reported by {@link MembershipCommand.MembersChanged}. */
  public MemberList members() {
    return reportedMembers;
  }

  /** Returns whether another node sent its view or a join request. */
  public boolean joined() {
    return joiner.isJoined();
  }

  /** Returns the nodes with which this node exchanges heartbeats. */
  public List<HostId> neighbours() {
    return state.neighbours().stream().map(Peer::host).toList();
  }

  /** Returns the peer address of a live or recently live node, or null if the host is unknown. */
  public @Nullable String address(HostId host) {
    Peer p = state.peers.get(host);
    return p == null ? null : p.rumor.address();
  }

  /** Returns the state of a node in the view of this one, or null if the host is unknown. */
  public @Nullable State state(HostId host) {
    Peer p = state.peers.get(host);
    return p == null ? null : p.state();
  }

  /** Returns the membership state for a diagnostic dump. */
  public Map<String, Object> dump() {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("incarnation", state.incarnation);
    all.put("refutations", state.refutationCounter);
    all.put("joined", joiner.isJoined());
    all.put("rumors_waiting", state.rumors.size());
    all.put("observers", state.observers().stream().map(HostId::value).toList());
    all.put("observed", state.observed().stream().map(p -> p.host().value()).toList());
    all.put(
        "unreachable_regions",
        state.regionReachability.unreachableRegions().stream().map(Object::toString).toList());
    Map<String, Object> peerStates = new LinkedHashMap<>();
    state.peers.forEach(
        (host, p) ->
            peerStates.put(
                host.value(),
                Map.of(
                    "state", p.state().name(),
                    "incarnation", p.rumor.incarnation(),
                    "counter", p.rumor.refutationCounter(),
                    "region", p.rumor.region().value(),
                    "zone", p.rumor.zone().value(),
                    "address", p.rumor.address())));
    all.put("peers", peerStates);
    return all;
  }

  private void detectPause(long now, Consumer<MembershipCommand> out) {
    long gap = now - lastTickNanos;
    if (gap <= MembershipConstants.PAUSE_THRESHOLD) {
      return;
    }
    lastTickNanos = now;
    detector.restartSilenceTimers(now);
    if (gap >= MembershipConstants.FENCING_PAUSE_THRESHOLD) {
      merger.raiseIncarnation(state.incarnation + 1, gap, now, out);
    }
  }

  private void tick(long now, Consumer<MembershipCommand> out) {
    lastTickNanos = now;
    state.refreshNeighbours(now);
    joiner.tick(now, out);
    detector.tick(now, out);
    long period =
        state.rumors.isEmpty()
            ? MembershipConstants.HEARTBEAT_PERIOD
            : MembershipConstants.URGENT_HEARTBEAT_PERIOD;
    if (now - lastHeartbeatNanos >= period - TICK_TOLERANCE) {
      lastHeartbeatNanos = now;
      sendHeartbeats(now, out);
    }
    if (now - lastSyncNanos >= MembershipConstants.SYNC_PERIOD) {
      lastSyncNanos = now;
      sendSyncs(out);
    }
  }

  private void sendHeartbeats(long now, Consumer<MembershipCommand> out) {
    for (HostId h : state.observers()) {
      Peer p = state.peers.get(h);
      if (p != null) {
        state.sendHeartbeat(p, now, out);
      }
    }
  }

  /** Sends the digest of this view to one random neighbour and to one random node in state DEAD. */
  private void sendSyncs(Consumer<MembershipCommand> out) {
    List<Peer> neighbours = new ArrayList<>(state.neighbours());
    List<Peer> dead = state.peers.values().stream().filter(p -> p.state() == State.DEAD).toList();
    for (List<Peer> candidates : List.of(neighbours, dead)) {
      if (!candidates.isEmpty()) {
        Peer p = candidates.get(random.nextInt(candidates.size()));
        out.accept(
            new MembershipCommand.Send(
                p.host(), p.rumor.address(), new MembershipMessage.Sync(state.digest())));
      }
    }
  }

  private void handleMessage(
      MembershipEvent.MessageReceived e, long now, Consumer<MembershipCommand> out) {
    if (!recordFrame(e.from(), e.incarnation(), now)) {
      return;
    }
    switch (e.message()) {
      case MembershipMessage.Heartbeat m -> {
        merger.merge(m.rumors(), now, out);
        state.sendAck(e.from(), m.sequence(), now, out);
        syncIfUnknown(e.from(), out);
      }
      case MembershipMessage.HeartbeatAck m -> merger.merge(m.rumors(), now, out);
      case MembershipMessage.Join m -> {
        merger.merge(List.of(m.self()), now, out);
        joiner.markJoined();
        reply(e.from(), new MembershipMessage.View(state.view(), false), out);
      }
      case MembershipMessage.View m -> mergeView(e.from(), m, now, out);
      case MembershipMessage.Suspicion m -> detector.recordVote(e.from(), m, now);
      case MembershipMessage.Sync m -> {
        if (m.digest() != state.digest()) {
          reply(e.from(), new MembershipMessage.View(state.view(), true), out);
        }
      }
    }
  }

  /** Sends a digest to an unknown sender, which responds with its view. */
  private void syncIfUnknown(HostId from, Consumer<MembershipCommand> out) {
    if (!state.peers.containsKey(from)) {
      reply(from, new MembershipMessage.Sync(state.digest()), out);
    }
  }

  private void mergeView(
      HostId from, MembershipMessage.View view, long now, Consumer<MembershipCommand> out) {
    merger.merge(view.rumors(), now, out);
    joiner.markJoined();
    if (view.replyRequested()) {
      List<Rumor> newer = newerThan(view.rumors());
      if (!newer.isEmpty()) {
        reply(from, new MembershipMessage.View(newer, false), out);
      }
    }
  }

  /** Returns the rumors of this view that override the given ones or are missing from them. */
  private List<Rumor> newerThan(List<Rumor> theirs) {
    Map<HostId, Rumor> reportedByHost = new HashMap<>();
    theirs.forEach(r -> reportedByHost.put(r.host(), r));
    return state.view().stream()
        .filter(
            r -> {
              Rumor other = reportedByHost.get(r.host());
              if (other == null) {
                return true;
              }
              int order = RumorMerger.compareVersions(r, other);
              return order > 0 || (order == 0 && r.state().compareTo(other.state()) > 0);
            })
        .toList();
  }

  private void reply(HostId to, MembershipMessage message, Consumer<MembershipCommand> out) {
    out.accept(new MembershipCommand.Send(to, address(to), message));
  }

  /** Records a frame; returns false if its incarnation has been superseded. */
  private boolean recordFrame(HostId from, long incarnation, long now) {
    Peer p = state.peers.get(from);
    if (p == null) {
      return true;
    }
    if (incarnation < p.rumor.incarnation()) {
      return false;
    }
    detector.recordFrame(p, now);
    return true;
  }

  private void leave(long now, Consumer<MembershipCommand> out) {
    state.leaving = true;
    state.selfRumorChanged(now);
    state.neighbours().forEach(p -> state.sendHeartbeat(p, now, out));
  }

  private void reportMembers(long now, Consumer<MembershipCommand> out) {
    if (!state.membersDirty
        && state.regionReachability.allReachable()
        && reportedMembers.unreachableRegions().isEmpty()) {
      return;
    }
    state.membersDirty = false;
    MemberList list = state.members(now);
    if (!list.equals(reportedMembers)) {
      reportedMembers = list;
      out.accept(new MembershipCommand.MembersChanged(list));
    }
  }
}
