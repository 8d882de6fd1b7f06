package org.mustardlatch.core.membership;

import java.util.HashMap;
import java.util.Map;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.MembershipMessage.Rumor;
import org.mustardlatch.core.peer.MembershipMessage.State;

/** What this node knows about another. */
final class Peer {
  Rumor rumor;

  /** Since when the state holds; moved forward while this node could not hear others. */
  long stateSinceNanos;

  /** The last frame from it, or the time from which silence counts. */
  long silentSinceNanos;

  /** Since when this node votes against it; meaningful while {@link #voting}. */
  long votingSinceNanos;

  boolean voting;
  long lastVoteNanos;
  long lastProbeNanos;
  final Map<HostId, Long> votes = new HashMap<>();

  Peer(Rumor rumor, long now) {
    this.rumor = rumor;
    this.stateSinceNanos = now;
    this.silentSinceNanos = now;
    this.lastProbeNanos = now;
  }

  HostId host() {
    return rumor.host();
  }

  State state() {
    return rumor.state();
  }

  /** Returns whether the node is alive as far as is known; suspected nodes are. */
  boolean isLive() {
    return rumor.state() == State.ALIVE || rumor.state() == State.SUSPECT;
  }

  void recordFrame(long now) {
    silentSinceNanos = now;
    clearVotes();
  }

  void clearVotes() {
    voting = false;
    votes.clear();
  }

  static Rumor withState(Rumor r, State state) {
    return new Rumor(
        r.host(), r.region(), r.zone(), r.address(), r.incarnation(), r.counter(), state);
  }
}
