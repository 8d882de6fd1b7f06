package org.mustardlatch.core.membership;

import java.util.List;
import java.util.function.Consumer;
import org.mustardlatch.core.peer.MembershipMessage.Rumor;
import org.mustardlatch.core.peer.MembershipMessage.State;

/**
 * Merges received rumors into the membership state and refutes those that report this node as
 * suspect, dead or left.
 */
final class RumorMerger {
  private final MembershipState state;

  RumorMerger(MembershipState state) {
    this.state = state;
  }

  void merge(List<Rumor> rumors, long now, Consumer<MembershipCommand> out) {
    for (Rumor r : rumors) {
      if (r.host().equals(state.self.host())) {
        mergeSelfRumor(r, now, out);
      } else {
        mergePeerRumor(r, now, out);
      }
    }
  }

  private void mergeSelfRumor(Rumor r, long now, Consumer<MembershipCommand> out) {
    if (r.incarnation() > state.incarnation) {
      // The clock of an earlier process under this name was ahead.
      raiseIncarnation(r.incarnation() + 1, 0, now, out);
    } else if (r.incarnation() == state.incarnation
        && r.refutationCounter() >= state.refutationCounter
        && r.state() != State.ALIVE
        && !state.leaving) {
      state.refutationCounter = r.refutationCounter() + 1;
      state.selfRumorChanged(now);
    }
  }

  /** Starts a new incarnation; attempts of the previous one must be cancelled. */
  void raiseIncarnation(long to, long pausedNanos, long now, Consumer<MembershipCommand> out) {
    state.incarnation = to;
    state.refutationCounter = 0;
    state.selfRumorChanged(now);
    out.accept(new MembershipCommand.Fenced(to, pausedNanos));
  }

  private void mergePeerRumor(Rumor r, long now, Consumer<MembershipCommand> out) {
    Peer p = state.peers.get(r.host());
    if (p == null) {
      // Unknown dead nodes are not recorded; otherwise nodes would keep passing on their records
      // forever.
      if (r.state() == State.ALIVE || r.state() == State.SUSPECT) {
        Peer added = new Peer(r, now);
        state.peers.put(r.host(), added);
        state.addToOverlay(added);
        state.rumors.add(r);
      }
      return;
    }
    int versionOrder = compareVersions(r, p.rumor);
    if (versionOrder > 0 || (versionOrder == 0 && r.state().compareTo(p.state()) > 0)) {
      updatePeer(p, r, now, out);
    }
  }

  private void updatePeer(Peer p, Rumor r, long now, Consumer<MembershipCommand> out) {
    boolean wasLive = p.isLive();
    boolean wasAlive = p.state() == State.ALIVE;
    // A death without a preceding suspicion is recorded as a suspicion, so that the node can refute
    // it.
    State mergedState = r.state() == State.DEAD && wasAlive ? State.SUSPECT : r.state();
    setRumor(p, Peer.withState(r, mergedState), now);
    if (p.isLive() && !wasLive) {
      p.silentSinceNanos = now;
      state.addToOverlay(p);
    } else if (!p.isLive() && wasLive) {
      state.removeFromOverlay(p);
      out.accept(new MembershipCommand.NodeRemoved(p.host()));
    }
    if (p.state() == State.SUSPECT) {
      out.accept(new MembershipCommand.Suspected(p.host()));
      if (state.isNeighbour(p.host())) {
        state.sendHeartbeat(p, now, out);
      }
    }
  }

  /** Replaces the rumor about a peer, resets its votes and queues the rumor for sending. */
  void setRumor(Peer p, Rumor rumor, long now) {
    state.membersDirty |= rumor.incarnation() != p.rumor.incarnation();
    p.rumor = rumor;
    p.stateSinceNanos = now;
    p.clearVotes();
    state.rumors.add(rumor);
  }

  /** Compares by incarnation, then by refutation counter. */
  static int compareVersions(Rumor a, Rumor b) {
    int byIncarnation = Long.compare(a.incarnation(), b.incarnation());
    return byIncarnation != 0
        ? byIncarnation
        : Long.compare(a.refutationCounter(), b.refutationCounter());
  }
}
