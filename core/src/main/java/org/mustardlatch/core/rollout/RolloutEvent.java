package org.mustardlatch.core.rollout;

import java.util.List;
import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.RolloutMessage;

/** Input of {@link Rollout}. */
public sealed interface RolloutEvent {
  /** Time passed. Expected every {@link Rollout#TICK_PERIOD}. */
  record Tick() implements RolloutEvent {}

  /** A configuration message arrived. */
  record MessageReceived(HostId from, RolloutMessage message) implements RolloutEvent {}

  /** A heartbeat said which revision another node has in force; 0 for none. */
  record PeerRevisionReported(HostId from, long revision) implements RolloutEvent {}

  /**
   * The live nodes or the overlay changed.
   *
   * @param neighbours nodes that this one exchanges heartbeats with
   */
  record MembersChanged(MemberList list, List<HostId> neighbours) implements RolloutEvent {
    /** Copies the list. */
    public MembersChanged {
      neighbours = List.copyOf(neighbours);
    }
  }

  /**
   * The object service was read or its watch fired; revision 0 with empty text when it has none.
   */
  record StoreRead(long revision, String text) implements RolloutEvent {}

  /** This node stored a revision in the object service for an operator. */
  record Published(long revision, String text) implements RolloutEvent {}

  /** The revision of an {@link RolloutCommand.Apply} is in force on this node. */
  record Applied(long revision) implements RolloutEvent {}

  /** The revision of an {@link RolloutCommand.Apply} can't be used by this node. */
  record Rejected(long revision) implements RolloutEvent {}
}
