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

/**
 * Failure detector of one node: probes the nodes that it observes, votes that silent ones have
 * failed, marks them suspect and declares suspects dead that do not refute in time.
 */
final class FailureDetector {
  private final MembershipState state;
  private final RumorMerger merger;

  /** Whether all neighbours, at least two, are silent. */
  private boolean isolated;

  private long isolatedSinceNanos;

  FailureDetector(MembershipState state, RumorMerger merger) {
    this.state = state;
    this.merger = merger;
  }

  void tick(long now, Consumer<MembershipCommand> out) {
    updateRegionReachability(now);
    updateIsolation(now);
    for (Peer p : state.observed()) {
      probeIfSilent(p, now, out);
      voteIfSilent(p, now, out);
    }
    expireStates(now, out);
  }

  /** Records that a frame of a peer arrived. */
  void recordFrame(Peer p, long now) {
    if (isolated) {
      isolated = false;
      restartSilenceTimers(now);
    }
    p.recordFrame(now);
    if (state.regionReachability.markReachable(p.rumor.region())) {
      restartSilenceTimers(now);
    }
  }

  /** Records the vote of another observer that a peer is silent. */
  void recordVote(HostId from, Suspicion s, long now) {
    Peer p = state.peers.get(s.host());
    if (p != null
        && p.rumor.incarnation() == s.incarnation()
        && p.rumor.refutationCounter() == s.refutationCounter()) {
      p.votes.put(from, now);
    }
  }

  /**
   * Restarts the silence timers of all neighbours and the refutation timers of all suspects, and
   * discards all votes. Called after a time in which this node could not receive frames, because
   * the silence during it says nothing about the peers.
   */
  void restartSilenceTimers(long now) {
    for (Peer p : state.peers.values()) {
      p.clearVotes();
      if (state.isNeighbour(p.host())) {
        p.silentSinceNanos = Math.max(p.silentSinceNanos, now);
      }
      if (p.state() == State.SUSPECT) {
        p.stateSinceNanos = now;
      }
    }
  }

  private void updateRegionReachability(long now) {
    Map<RegionId, Boolean> allSilentByRegion = new HashMap<>();
    for (Peer p : state.neighbours()) {
      if (p.isLive() && !p.rumor.region().equals(state.self.region())) {
        allSilentByRegion.merge(
            p.rumor.region(),
            now - p.silentSinceNanos > MembershipConstants.SILENT_AFTER,
            Boolean::logicalAnd);
      }
    }
    allSilentByRegion.forEach(
        (region, allSilent) -> {
          if (allSilent) {
            state.regionReachability.markUnreachable(region, now);
          }
        });
  }

  private void updateIsolation(long now) {
    Collection<Peer> neighbours = state.neighbours();
    boolean allSilent =
        neighbours.size() > 1
            && neighbours.stream()
                .allMatch(p -> now - p.silentSinceNanos > MembershipConstants.SILENT_AFTER);
    if (allSilent && !isolated) {
      isolatedSinceNanos = now;
    }
    isolated = allSilent;
  }

  /**
   * Returns whether the silence of all neighbours is more likely a fault of this node than the
   * failure of all of them.
   */
  private boolean isLikelyIsolated(long now) {
    return isolated && now - isolatedSinceNanos < MembershipConstants.UNREACHABLE_GRACE_PERIOD;
  }

  /** Sends a heartbeat to an observed peer that is silent, so that it can acknowledge. */
  private void probeIfSilent(Peer p, long now, Consumer<MembershipCommand> out) {
    if (now - p.silentSinceNanos > MembershipConstants.PROBE_AFTER
        && now - p.lastProbeNanos > MembershipConstants.URGENT_HEARTBEAT_PERIOD) {
      p.lastProbeNanos = now;
      state.sendHeartbeat(p, now, out);
    }
  }

  /**
   * Votes against a silent peer; marks it suspect once another observer agrees, or without
   * agreement after {@link MembershipConstants#LONE_VOTE_DELAY}.
   */
  private void voteIfSilent(Peer p, long now, Consumer<MembershipCommand> out) {
    RegionId region = p.rumor.region();
    long limit =
        region.equals(state.self.region())
            ? MembershipConstants.SILENT_AFTER
            : MembershipConstants.REMOTE_SILENT_AFTER;
    if (p.state() != State.ALIVE
        || state.leaving
        || now - p.silentSinceNanos <= limit
        || isLikelyIsolated(now)
        || state.regionReachability.isUnreachable(region)) {
      p.voting = false;
      return;
    }
    if (!p.voting) {
      p.voting = true;
      p.votingSinceNanos = now;
      p.lastVoteNanos = now - MembershipConstants.VOTE_PERIOD;
    }
    if (now - p.lastVoteNanos >= MembershipConstants.VOTE_PERIOD) {
      p.lastVoteNanos = now;
      sendVotes(p, out);
    }
    boolean agreed =
        p.votes.values().stream().anyMatch(at -> now - at < MembershipConstants.VOTE_LIFETIME);
    if (agreed || now - p.votingSinceNanos >= MembershipConstants.LONE_VOTE_DELAY) {
      markSuspect(p, now, out);
    }
  }

  private void sendVotes(Peer p, Consumer<MembershipCommand> out) {
    Suspicion vote = new Suspicion(p.host(), p.rumor.incarnation(), p.rumor.refutationCounter());
    for (HostId h : state.overlay.observersOf(p.host())) {
      Peer observer = state.peers.get(h);
      if (observer != null) {
        out.accept(new MembershipCommand.Send(h, observer.rumor.address(), vote));
      }
    }
  }

  private void markSuspect(Peer p, long now, Consumer<MembershipCommand> out) {
    merger.setRumor(p, Peer.withState(p.rumor, State.SUSPECT), now);
    out.accept(new MembershipCommand.Suspected(p.host()));
    state.sendHeartbeat(p, now, out);
  }

  /** Declares suspects dead that did not refute in time, and removes old records of dead nodes. */
  private void expireStates(long now, Consumer<MembershipCommand> out) {
    List<Peer> expired = new ArrayList<>();
    for (Peer p : state.peers.values()) {
      long age = now - p.stateSinceNanos;
      switch (p.state()) {
        case SUSPECT -> {
          if (age >= MembershipConstants.REFUTATION_TIMEOUT && !isDeathDeferred(p, now)) {
            markDead(p, now, out);
          }
        }
        case DEAD, LEFT -> {
          if (age > MembershipConstants.TOMBSTONE_LIFETIME) {
            expired.add(p);
          }
        }
        case ALIVE -> {}
      }
      if (p.isLive() && state.regionReachability.isPresumedDead(p.rumor.region(), now)) {
        markDead(p, now, out);
      }
    }
    expired.forEach(p -> state.peers.remove(p.host()));
  }

  /** Returns whether a suspect must not be declared dead yet. */
  private boolean isDeathDeferred(Peer p, long now) {
    boolean receivedRecently =
        state.isNeighbour(p.host()) && now - p.silentSinceNanos < MembershipConstants.SILENT_AFTER;
    return receivedRecently
        || isLikelyIsolated(now)
        || state.regionReachability.isUnreachable(p.rumor.region());
  }

  private void markDead(Peer p, long now, Consumer<MembershipCommand> out) {
    merger.setRumor(p, Peer.withState(p.rumor, State.DEAD), now);
    state.removeFromOverlay(p);
    out.accept(new MembershipCommand.NodeRemoved(p.host()));
  }
}
