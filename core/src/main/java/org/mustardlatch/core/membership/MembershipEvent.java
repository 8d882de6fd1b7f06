package org.mustardlatch.core.membership;

import java.util.List;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.MembershipMessage;

/** Input of {@link Membership}. */
public sealed interface MembershipEvent {
  /** Time passed. Expected every {@link Membership#TICK_PERIOD}; a late one reveals a pause. */
  record Tick() implements MembershipEvent {}

  /** A membership message arrived. */
  record MessageReceived(HostId from, long incarnation, MembershipMessage message)
      implements MembershipEvent {}

  /** Any other frame arrived; it is a sign of life. */
  record FrameReceived(HostId from, long incarnation) implements MembershipEvent {}

  /** The object service lists these peer addresses of nodes. */
  record NodesListed(List<String> addresses) implements MembershipEvent {
    /** Copies the list. */
    public NodesListed {
      addresses = List.copyOf(addresses);
    }
  }

  /** The manifest revision in force on this node, which heartbeats carry. */
  record ActiveRevisionChanged(long revision) implements MembershipEvent {}

  /** This node is about to stop. */
  record LeaveRequested() implements MembershipEvent {}
}
