package org.mustardlatch.core.rollout;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.RolloutMessage;

/** Output of {@link Rollout}. */
public sealed interface RolloutCommand {
  /** Send a message. */
  record Send(HostId to, RolloutMessage message) implements RolloutCommand {}

  /**
   * Put a revision into force as a whole, then report {@link RolloutEvent.Applied}, or {@link
   * RolloutEvent.Rejected} when that is not possible.
   */
  record Apply(long revision, String text) implements RolloutCommand {}

  /** A revision that this node published is in force on enough nodes. Given once. */
  record Accepted(long revision) implements RolloutCommand {}

  /** Whether this node holds a watch on the manifest in the object service changed. */
  record WatchChanged(boolean watch) implements RolloutCommand {}

  /** This node has a revision that is recent enough to serve requests. Given once. */
  record Ready(long revision) implements RolloutCommand {}
}
