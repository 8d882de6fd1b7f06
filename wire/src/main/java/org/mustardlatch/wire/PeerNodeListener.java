package org.mustardlatch.wire;

import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;

/**
 * Receives what a {@link PeerNode} finds. Calls are made one after another, on a network or timer
 * thread, and must not block.
 */
public interface PeerNodeListener {
  /** The live nodes changed. */
  void membersChanged(MemberList list);

  /** A node is suspected to be dead. */
  void nodeSuspected(HostId host);

  /**
   * This node may have been declared dead; attempts of earlier incarnations are void.
   *
   * @param incarnation the incarnation from now on
   * @param pausedNanos length of the pause, nanoseconds; 0 when there was none
   */
  void fenced(long incarnation, long pausedNanos);

  /** Puts a manifest revision into force; returns false when it can't be used. */
  boolean applyManifest(long revision, String text);

  /** A revision that this node published is in force on enough nodes. */
  void manifestAccepted(long revision);

  /** Whether this node must hold a watch on the manifest in the object service changed. */
  void manifestWatchChanged(boolean watch);

  /** The node has a manifest that is recent enough to serve requests. */
  void configurationReady(long revision);

  /** An admission, evidence or ledger message arrived. */
  void messageReceived(HostId from, long incarnation, PeerMessage message);

  /** A fault in the program. */
  void unexpectedError(Throwable error);
}
