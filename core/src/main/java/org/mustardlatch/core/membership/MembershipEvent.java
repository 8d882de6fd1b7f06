package org.mustardlatch.core.membership;

import java.util.List;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.MembershipMessage;

/** Input event of {@link Membership}. */
public sealed interface MembershipEvent {
  /**
   * Periodic event, expected every {@link Membership#TICK_PERIOD}; a late one means that the
   * process was paused.
   */
  record Tick() implements MembershipEvent {}

  /** Arrival of a membership message. */
  record MessageReceived(HostId from, long incarnation, MembershipMessage message)
      implements MembershipEvent {}

  /** Arrival of any other frame, which shows that the sender is alive. */
  record FrameReceived(HostId from, long incarnation) implements MembershipEvent {}

  /** Peer addresses of nodes as listed in the object service. */
  record NodesListed(List<String> addresses) implements MembershipEvent {
    /** Copies the list. */
    public NodesListed {
      addresses = List.copyOf(addresses);
    }
  }

  /** Change of the addresses through which nodes join, as the settings name them. */
  record SeedsChanged(List<String> addresses) implements MembershipEvent {
    /** Copies the list. */
    public SeedsChanged {
      addresses = List.copyOf(addresses);
    }
  }

  /** Change of the active manifest revision of this node, which heartbeats carry. */
  record ActiveRevisionChanged(long revision) implements MembershipEvent {}

  /** Request to notify the other nodes that this node leaves, made before it stops. */
  record LeaveRequested() implements MembershipEvent {}
}
