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
  private final MembershipState node;

  RumorMerger(MembershipState node) {
    this.node = node;
  }

  void merge(List<Rumor> rumors, long now, Consumer<MembershipCommand> out) {
    for (Rumor r : rumors) {
      if (r.host().equals(node.self.host())) {
        mergeSelfRumor(r, now, out);
      } else {
        mergePeerRumor(r, now, out);
      }
    }
  }

  private void mergeSelfRumor(Rumor r, long now, Consumer<MembershipCommand> out) {
    if (r.incarnation() > node.incarnation) {
      // The clock of an earlier process under this name was ahead.
      raiseIncarnation(r.incarnation() + 1, 0, now, out);
    } else if (r.incarnation() == node.incarnation
        && r.counter() >= node.refutationCounter
        && r.state() != State.ALIVE
        && !node.leaving) {
      node.refutationCounter = r.counter() + 1;
      node.selfRumorChanged(now);
    }
  }

  /** Starts a new incarnation; attempts of the previous one must be cancelled. */
  void raiseIncarnation(long to, long pausedNanos, long now, Consumer<MembershipCommand> out) {
    node.incarnation = to;
    node.refutationCounter = 0;
    node.selfRumorChanged(now);
    out.accept(new MembershipCommand.Fenced(to, pausedNanos));
  }

  private void mergePeerRumor(Rumor r, long now, Consumer<MembershipCommand> out) {
    Peer p = node.peers.get(r.host());
    if (p == null) {
      // Unknown dead nodes are not recorded; otherwise nodes would keep passing on their records
      // forever.
      if (r.state() == State.ALIVE || r.state() == State.SUSPECT) {
        Peer added = new Peer(r, now);
        node.peers.put(r.host(), added);
        node.addToOverlay(added);
        node.rumors.add(r);
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
    State state = r.state() == State.DEAD && wasAlive ? State.SUSPECT : r.state();
    setRumor(p, Peer.withState(r, state), now);
    if (p.isLive() && !wasLive) {
      p.silentSinceNanos = now;
      node.addToOverlay(p);
    } else if (!p.isLive() && wasLive) {
      node.removeFromOverlay(p);
      out.accept(new MembershipCommand.NodeRemoved(p.host()));
    }
    if (p.state() == State.SUSPECT) {
      out.accept(new MembershipCommand.Suspected(p.host()));
      if (node.isNeighbour(p.host())) {
        node.sendHeartbeat(p, now, out);
      }
    }
  }

  /** Replaces the rumor about a peer, resets its votes and queues the rumor for sending. */
  void setRumor(Peer p, Rumor rumor, long now) {
    node.membersDirty |= rumor.incarnation() != p.rumor.incarnation();
    p.rumor = rumor;
    p.stateSinceNanos = now;
    p.clearVotes();
    node.rumors.add(rumor);
  }

  /** Compares by incarnation, then by refutation counter. */
  static int compareVersions(Rumor a, Rumor b) {
    int byIncarnation = Long.compare(a.incarnation(), b.incarnation());
    return byIncarnation != 0 ? byIncarnation : Long.compare(a.counter(), b.counter());
  }
}
