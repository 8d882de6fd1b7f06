package org.mustardlatch.core.membership;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.MembershipMessage;

/** Command of {@link Membership} for its caller to execute. */
public sealed interface MembershipCommand {
  /**
   * Sends a message to a host.
   *
   * @param address address of its peer listener; null to reply over an open connection only
   */
  record Send(HostId to, @Nullable String address, MembershipMessage message)
      implements MembershipCommand {}

  /** Sends a message to the node that listens on the address, whichever it is. */
  record SendToAddress(String address, MembershipMessage message) implements MembershipCommand {}

  /** Reports that the list of live nodes changed. */
  record MembersChanged(MemberList list) implements MembershipCommand {}

  /** Reports that a node is dead or has left, so that connections to it can be closed. */
  record NodeRemoved(HostId host) implements MembershipCommand {}

  /**
   * Reports that this node may have been declared dead while it was paused, or that an earlier
   * process under its name had a higher incarnation. The node must cancel its own attempts before
   * it accepts new work.
   *
   * @param incarnation new incarnation of this node
   * @param pausedNanos length of the pause, nanoseconds; 0 if there was none
   */
  record Fenced(long incarnation, long pausedNanos) implements MembershipCommand {}

  /** Reports that a node became suspect. */
  record Suspected(HostId host) implements MembershipCommand {}
}
