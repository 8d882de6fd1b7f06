package org.mustardlatch.core.membership;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.MembershipMessage;

/** Output of {@link Membership}. */
public sealed interface MembershipCommand {
  /**
   * Send a message to a host.
   *
   * @param address address of its peer listener; null to answer over an open connection only
   */
  record Send(HostId to, @Nullable String address, MembershipMessage message)
      implements MembershipCommand {}

  /** Send a message to whichever node listens on the address. */
  record SendToAddress(String address, MembershipMessage message) implements MembershipCommand {}

  /** The live nodes changed. */
  record MembersChanged(MemberList list) implements MembershipCommand {}

  /** A node is dead or has left; connections to it can be closed. */
  record NodeRemoved(HostId host) implements MembershipCommand {}

  /**
   * This node may have been declared dead while it was paused, or an earlier process under its name
   * had a higher incarnation. It must cancel its own attempts before it accepts new work.
   *
   * @param incarnation the incarnation from now on
   * @param pausedNanos length of the pause, nanoseconds; 0 when there was none
   */
  record Fenced(long incarnation, long pausedNanos) implements MembershipCommand {}

  /** A node is suspected. */
  record Suspected(HostId host) implements MembershipCommand {}
}
