package org.mustardlatch.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.peer.MembershipMessage.State;
import org.mustardlatch.core.peer.MembershipMessage.Suspicion;

/** Observes neighbours, votes against silent ones and declares suspects dead. */
final class FailureDetector {
  private final NodeState node;
  private final RumorMerger merger;
  private boolean isolated;
  private long isolatedSinceNanos;

  FailureDetector(NodeState node, RumorMerger merger) {
    this.node = node;
    this.merger = merger;
  }

  void tick(long now, Consumer<MembershipCommand> out) {
    watchRegions(now);
    watchIsolation(now);
    for (Peer p : node.observed()) {
      probe(p, now, out);
      vote(p, now, out);
    }
    expire(now, out);
  }

  /** A frame of a peer arrived. */
  void heard(Peer p, long now) {
    if (isolated) {
      isolated = false;
      forgiveSilence(now);
    }
    p.heard(now);
    if (node.regions.heard(p.rumor.region())) {
      forgiveSilence(now);
    }
  }

  /** Another observer misses a peer. */
  void voted(HostId from, Suspicion s, long now) {
    Peer p = node.peers.get(s.host());
    if (p != null && p.rumor.incarnation() == s.incarnation() && p.rumor.counter() == s.counter()) {
      p.votes.put(from, now);
    }
  }

  /** Silence until now says nothing about the peers, because this node could not hear them. */
  void forgiveSilence(long now) {
    for (Peer p : node.peers.values()) {
      p.clearVotes();
      if (node.isNeighbour(p.host())) {
        p.heardNanos = Math.max(p.heardNanos, now);
      }
      if (p.state() == State.SUSPECT) {
        p.stateSinceNanos = now;
      }
    }
  }

  private void watchRegions(long now) {
    Map<RegionId, Boolean> silent = new HashMap<>();
    for (Peer p : node.neighbours()) {
      if (p.live() && !p.rumor.region().equals(node.self.region())) {
        silent.merge(
            p.rumor.region(),
            now - p.heardNanos > MembershipTimes.SILENT_AFTER,
            Boolean::logicalAnd);
      }
    }
    silent.forEach(
        (region, all) -> {
          if (all) {
            node.regions.silent(region, now);
          }
        });
  }

  private void watchIsolation(long now) {
    Collection<Peer> neighbours = node.neighbours();
    boolean nothingHeard =
        neighbours.size() > 1
            && neighbours.stream().allMatch(p -> now - p.heardNanos > MembershipTimes.SILENT_AFTER);
    if (nothingHeard && !isolated) {
      isolatedSinceNanos = now;
    }
    isolated = nothingHeard;
  }

  /** Returns whether silence is more likely a fault of this node than the death of all others. */
  private boolean cannotJudge(long now) {
    return isolated && now - isolatedSinceNanos < MembershipTimes.UNREACHABLE_HOLD;
  }

  private void probe(Peer p, long now, Consumer<MembershipCommand> out) {
    if (now - p.heardNanos > MembershipTimes.PROBE_AFTER
        && now - p.probedNanos > MembershipTimes.URGENT_HEARTBEAT) {
      p.probedNanos = now;
      node.sendHeartbeat(p, now, out);
    }
  }

  private void vote(Peer p, long now, Consumer<MembershipCommand> out) {
    RegionId region = p.rumor.region();
    long limit =
        region.equals(node.self.region())
            ? MembershipTimes.SILENT_AFTER
            : MembershipTimes.REMOTE_SILENT_AFTER;
    if (p.state() != State.ALIVE
        || node.leaving
        || now - p.heardNanos <= limit
        || cannotJudge(now)
        || node.regions.unreachable(region)) {
      p.voting = false;
      return;
    }
    if (!p.voting) {
      p.voting = true;
      p.votingSinceNanos = now;
      p.votedNanos = now - MembershipTimes.VOTE_PERIOD;
    }
    if (now - p.votedNanos >= MembershipTimes.VOTE_PERIOD) {
      p.votedNanos = now;
      sendVotes(p, out);
    }
    boolean agreed =
        p.votes.values().stream().anyMatch(at -> now - at < MembershipTimes.VOTE_VALID);
    if (agreed || now - p.votingSinceNanos >= MembershipTimes.LONE_VOTE) {
      suspect(p, now, out);
    }
  }

  private void sendVotes(Peer p, Consumer<MembershipCommand> out) {
    Suspicion vote = new Suspicion(p.host(), p.rumor.incarnation(), p.rumor.counter());
    for (HostId h : node.overlay.observersOf(p.host())) {
      Peer observer = node.peers.get(h);
      if (observer != null) {
        out.accept(new MembershipCommand.Send(h, observer.rumor.address(), vote));
      }
    }
  }

  private void suspect(Peer p, long now, Consumer<MembershipCommand> out) {
    merger.setState(p, Peer.withState(p.rumor, State.SUSPECT), now);
    out.accept(new MembershipCommand.Suspected(p.host()));
    node.sendHeartbeat(p, now, out);
  }

  private void expire(long now, Consumer<MembershipCommand> out) {
    List<Peer> gone = new ArrayList<>();
    for (Peer p : node.peers.values()) {
      long age = now - p.stateSinceNanos;
      switch (p.state()) {
        case SUSPECT -> {
          if (age >= MembershipTimes.REFUTATION && !held(p, now)) {
            die(p, now, out);
          }
        }
        case DEAD, LEFT -> {
          if (age > MembershipTimes.TOMBSTONE) {
            gone.add(p);
          }
        }
        case ALIVE -> {}
      }
      if (p.live() && node.regions.purged(p.rumor.region(), now)) {
        die(p, now, out);
      }
    }
    gone.forEach(p -> node.peers.remove(p.host()));
  }

  private boolean held(Peer p, long now) {
    boolean heardLately =
        node.isNeighbour(p.host()) && now - p.heardNanos < MembershipTimes.SILENT_AFTER;
    return heardLately || cannotJudge(now) || node.regions.unreachable(p.rumor.region());
  }

  private void die(Peer p, long now, Consumer<MembershipCommand> out) {
    merger.setState(p, Peer.withState(p.rumor, State.DEAD), now);
    node.overlayRemove(p);
    out.accept(new MembershipCommand.Forget(p.host()));
  }
}
