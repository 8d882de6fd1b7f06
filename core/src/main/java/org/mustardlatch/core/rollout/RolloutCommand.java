package org.mustardlatch.core.rollout;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.RolloutMessage;

/** Command of {@link Rollout} for its caller to execute. */
public sealed interface RolloutCommand {
  /** Sends a message to a host. */
  record Send(HostId to, RolloutMessage message) implements RolloutCommand {}

  /**
   * Activates a revision as a whole. The caller then reports {@link RolloutEvent.Applied}, or
   * {@link RolloutEvent.Rejected} if the revision cannot be applied.
   */
  record Apply(long revision, String text) implements RolloutCommand {}

  /** Reports once that a revision published by this node is active on enough nodes. */
  record Accepted(long revision) implements RolloutCommand {}

  /** Starts or stops the watch of this node on the manifest in the object service. */
  record WatchChanged(boolean watch) implements RolloutCommand {}

  /** Reports once that this node has a revision that is recent enough to serve requests. */
  record Ready(long revision) implements RolloutCommand {}
}
