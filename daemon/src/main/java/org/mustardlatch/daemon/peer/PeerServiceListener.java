package org.mustardlatch.daemon.peer;

import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;

/**
 * Receives what the service finds; each method does nothing unless overridden. Calls are made one
 * after another, on a network or timer thread, and must not block.
 */
public interface PeerServiceListener {
  /** The live nodes changed. Called once at the start, with this node alone. */
  default void membersChanged(MemberList list) {}

  /**
   * This node may have been declared dead. It must stop dispatching, cancel its own attempts of
   * earlier incarnations, and only then accept new work.
   *
   * @param incarnation the incarnation from now on
   */
  default void fenced(long incarnation) {}

  /** A manifest revision was put into force on this node. */
  default void manifestApplied(long revision, String text) {}

  /** A revision that this node published is in force on enough nodes that it can't be lost. */
  default void manifestAccepted(long revision) {}

  /**
   * Whether this node must watch the manifest in the object service changed. While it must, it
   * reports what it reads with {@link PeerService#manifestStored}.
   */
  default void watchManifest(boolean watch) {}

  /** The node has a manifest that is recent enough to serve requests. Called once. */
  default void configurationReady(long revision) {}

  /** An admission, evidence or ledger message arrived. */
  default void messageReceived(HostId from, long incarnation, PeerMessage message) {}
}
