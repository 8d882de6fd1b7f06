package org.mustardlatch.core.membership;

import java.util.HashMap;
import java.util.Map;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.MembershipMessage.Rumor;
import org.mustardlatch.core.peer.MembershipMessage.State;

/** State that this node keeps about another node: the rumor on record, timers and votes. */
final class Peer {
  /** Merged from received rumors and from the decisions of this node's failure detector. */
  Rumor rumor;

  /**
   * Start of the current state; reset after a period in which this node could not receive frames.
   */
  long stateSinceNanos;

  /** Time of the last frame from the peer, or a later time from which its silence is measured. */
  long silentSinceNanos;

  /** Time since which this node votes against the peer; valid while {@link #voting}. */
  long votingSinceNanos;

  boolean voting;
  long lastVoteNanos;
  long lastProbeNanos;

  /** Time of the last vote against the peer, by observer. */
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

  /** Returns whether the recorded state is ALIVE or SUSPECT. */
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
        r.host(), r.region(), r.zone(), r.address(), r.incarnation(), r.refutationCounter(), state);
  }
}
