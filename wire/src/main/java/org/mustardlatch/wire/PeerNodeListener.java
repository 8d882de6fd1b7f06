package org.mustardlatch.wire;

import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;

/**
 * Receives the events of a {@link PeerNode}. Calls are made one at a time, on the thread that runs
 * the node's task (a network, timer or caller thread), and must not block.
 */
public interface PeerNodeListener {
  /** Called when the list of live nodes changes. */
  void membersChanged(MemberList list);

  /** Called when a node is suspected to be dead. */
  void nodeSuspected(HostId host);

  /**
   * Called when other nodes may have declared this node dead; attempts of its earlier incarnations
   * are no longer valid.
   *
   * @param incarnation the new incarnation of this node
   * @param pausedNanos length of the pause, nanoseconds; 0 if there was none
   */
  void fenced(long incarnation, long pausedNanos);

  /** Activates a manifest revision; returns false if it can't be used. */
  boolean applyManifest(long revision, String text);

  /** Called when a revision that this node published is active on enough nodes. */
  void manifestAccepted(long revision);

  /** Called when this node must start or stop to watch the manifest in the object service. */
  void manifestWatchChanged(boolean watch);

  /** Called when the node has a manifest that is recent enough to serve requests. */
  void configurationReady(long revision);

  /** Handles an admission, evidence or ledger message. */
  void messageReceived(HostId from, long incarnation, PeerMessage message);

  /** Handles an exception that indicates a programming error. */
  void unexpectedError(Throwable error);
}
