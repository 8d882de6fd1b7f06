package org.mustardlatch.core.rollout;

import java.util.List;
import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.RolloutMessage;

/** Input event of {@link Rollout}. */
public sealed interface RolloutEvent {
  /** Periodic event, expected every {@link Rollout#TICK_PERIOD}. */
  record Tick() implements RolloutEvent {}

  /** Arrival of a configuration message. */
  record MessageReceived(HostId from, RolloutMessage message) implements RolloutEvent {}

  /** Active revision of another node as reported by its heartbeat; 0 for none. */
  record PeerRevisionReported(HostId from, long revision) implements RolloutEvent {}

  /**
   * Change of the live nodes or of the observer overlay.
   *
   * @param neighbours nodes with which this node exchanges heartbeats
   */
  record MembersChanged(MemberList list, List<HostId> neighbours) implements RolloutEvent {
    /** Copies the list. */
    public MembersChanged {
      neighbours = List.copyOf(neighbours);
    }
  }

  /**
   * Manifest read from the object service or delivered by its watch; revision 0 with empty text if
   * the service has none.
   */
  record StoreRead(long revision, String text) implements RolloutEvent {}

  /** Revision that this node stored in the object service for an operator. */
  record Published(long revision, String text) implements RolloutEvent {}

  /** Confirmation that the revision of a {@link RolloutCommand.Apply} is active on this node. */
  record Applied(long revision) implements RolloutEvent {}

  /** Report that this node cannot apply the revision of a {@link RolloutCommand.Apply}. */
  record Rejected(long revision) implements RolloutEvent {}
}
