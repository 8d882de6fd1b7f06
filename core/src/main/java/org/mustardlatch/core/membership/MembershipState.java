package org.mustardlatch.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.peer.MembershipMessage;
import org.mustardlatch.core.peer.MembershipMessage.Rumor;
import org.mustardlatch.core.peer.MembershipMessage.State;
import org.mustardlatch.core.routing.Member;

/** State shared by the parts of {@link Membership}, with the messages and lists built from it. */
final class MembershipState {
  final NodeIdentity self;
  final Map<HostId, Peer> peers = new TreeMap<>();
  final ObserverOverlay overlay = new ObserverOverlay();
  final RumorQueue rumors = new RumorQueue();
  final RegionReachability regionReachability = new RegionReachability();
  long incarnation;
  long refutationCounter;
  long activeRevision;
  boolean leaving;

  /** Time until which heartbeats and acknowledgements carry this node's own rumor. */
  long selfRumorUntilNanos;

  /** Whether the list of live nodes may differ from the last reported one. */
  boolean membersDirty;

  private long heartbeatSequence;
  private List<HostId> observers = List.of();
  private Set<HostId> observed = Set.of();
  private Set<HostId> neighbours = Set.of();
  private boolean neighboursStale;

  MembershipState(NodeIdentity self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
    overlay.add(self.host(), self.region());
  }

  Rumor selfRumor() {
    return new Rumor(
        self.host(),
        self.region(),
        self.zone(),
        self.address(),
        incarnation,
        refutationCounter,
        leaving ? State.LEFT : State.ALIVE);
  }

  /** Queues this node's own rumor after a change, so that it is spread. */
  void selfRumorChanged(long now) {
    rumors.add(selfRumor());
    membersDirty = true;
    selfRumorUntilNanos = now + MembershipConstants.SELF_RUMOR_PERIOD;
  }

  /** Returns the number of live nodes, this one included. */
  int liveNodeCount() {
    return 1 + (int) peers.values().stream().filter(Peer::isLive).count();
  }

  void addToOverlay(Peer p) {
    overlay.add(p.host(), p.rumor.region());
    neighboursStale = true;
    membersDirty = true;
  }

  void removeFromOverlay(Peer p) {
    overlay.remove(p.host());
    neighboursStale = true;
    membersDirty = true;
  }

  /**
   * Recomputes the neighbours if the overlay changed; silence of new neighbours is measured from
   * {@code now}.
   */
  void refreshNeighbours(long now) {
    if (!neighboursStale) {
      return;
    }
    neighboursStale = false;
    observers = overlay.observersOf(self.host());
    observed = overlay.observedBy(self.host());
    Set<HostId> all = new LinkedHashSet<>(observers);
    all.addAll(observed);
    for (HostId h : all) {
      Peer p = peers.get(h);
      if (p != null && !neighbours.contains(h)) {
        p.silentSinceNanos = now;
      }
    }
    neighbours = all;
  }

  List<HostId> observers() {
    return observers;
  }

  Collection<Peer> observed() {
    return peersOf(observed);
  }

  Collection<Peer> neighbours() {
    return peersOf(neighbours);
  }

  boolean isNeighbour(HostId host) {
    return neighbours.contains(host);
  }

  private List<Peer> peersOf(Collection<HostId> hosts) {
    List<Peer> found = new ArrayList<>(hosts.size());
    for (HostId h : hosts) {
      Peer p = peers.get(h);
      if (p != null) {
        found.add(p);
      }
    }
    return found;
  }

  void sendHeartbeat(Peer to, long now, Consumer<MembershipCommand> out) {
    out.accept(
        new MembershipCommand.Send(
            to.host(),
            to.rumor.address(),
            new MembershipMessage.Heartbeat(
                ++heartbeatSequence, activeRevision, rumorsFor(to, now))));
  }

  void sendAck(HostId to, long sequence, long now, Consumer<MembershipCommand> out) {
    Peer p = peers.get(to);
    out.accept(
        new MembershipCommand.Send(
            to,
            p == null ? null : p.rumor.address(),
            new MembershipMessage.HeartbeatAck(sequence, activeRevision, rumorsFor(p, now))));
  }

  /**
   * Returns the rumors that the next heartbeat or acknowledgement to a peer carries. A peer that is
   * not recorded as alive receives the rumor about itself, so that it can refute it.
   */
  List<Rumor> rumorsFor(@Nullable Peer to, long now) {
    List<Rumor> result = rumors.take(MembershipConstants.MAX_RUMORS, overlay.size());
    if (now < selfRumorUntilNanos && result.stream().noneMatch(r -> r.host().equals(self.host()))) {
      result.add(selfRumor());
    }
    if (to != null && to.state() != State.ALIVE) {
      result.add(to.rumor);
    }
    return result;
  }

  /** Returns the rumors about all nodes on record, this node's own included. */
  List<Rumor> view() {
    List<Rumor> all = new ArrayList<>(peers.size() + 1);
    all.add(selfRumor());
    peers.values().forEach(p -> all.add(p.rumor));
    return all;
  }

  /** Returns a digest of the live nodes that is independent of their order. */
  long digest() {
    long sum = leaving ? 0 : digest(selfRumor());
    for (Peer p : peers.values()) {
      if (p.isLive()) {
        sum += digest(p.rumor);
      }
    }
    return sum;
  }

  private static long digest(Rumor r) {
    return RendezvousHash.score(
        RendezvousHash.hash(r.host().value()),
        RendezvousHash.score(r.incarnation(), r.refutationCounter()));
  }

  MemberList members(long now) {
    List<Member> members = new ArrayList<>(peers.size() + 1);
    if (!leaving) {
      members.add(new Member(self.host(), self.region(), self.zone(), incarnation));
    }
    for (Peer p : peers.values()) {
      Rumor r = p.rumor;
      if (p.isLive() && !regionReachability.isExcluded(r.region(), now)) {
        members.add(new Member(r.host(), r.region(), r.zone(), r.incarnation()));
      }
    }
    members.sort((a, b) -> a.host().compareTo(b.host()));
    return new MemberList(members, regionReachability.unreachableRegions());
  }

  /** Returns the regions of other live nodes. */
  Set<RegionId> otherRegions() {
    Set<RegionId> found = new HashSet<>();
    for (Peer p : peers.values()) {
      if (p.isLive() && !p.rumor.region().equals(self.region())) {
        found.add(p.rumor.region());
      }
    }
    return found;
  }
}
