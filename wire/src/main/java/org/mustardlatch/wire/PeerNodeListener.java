package org.mustardlatch.wire;

import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;

/**
 * Receives the events of a {@link PeerNode}. Calls are made one at a time, on the thread that runs
 * the node's task (an event loop, timer or caller thread), and must not block.
 */
public interface PeerNodeListener {
  /** Called when the list of live nodes changes. */
  void membersChanged(MemberList list);

  /** Called when a node is suspected to be dead. */
  void nodeSuspected(HostId host);

  /**
   * Called when this node starts a new incarnation, because other nodes may have declared it dead
   * during a pause of this process, or because an earlier process under its name had a higher
   * incarnation. Attempts of its earlier incarnations are no longer valid.
   *
   * @param incarnation the new incarnation of this node
   * @param pausedNanos length of the pause of this process, nanoseconds; 0 if there was none
   */
  void fenced(long incarnation, long pausedNanos);

  /** Activates a manifest revision; returns false if it can't be used. */
  boolean applyManifest(long revision, String text);

  /**
   * Called when a revision that this node published is active on three reachable nodes (all, if
   * fewer are reachable), among them one in each reachable region.
   */
  void manifestAccepted(long revision);

  /** Called when this node must start or stop to watch the manifest in the object service. */
  void manifestWatchChanged(boolean watch);

  /** Called once, when the node first has a manifest recent enough to serve requests. */
  void configurationReady(long revision);

  /**
   * Handles an admission, evidence or ledger message.
   *
   * @param incarnation incarnation of the sender when it sent the message
   */
  void messageReceived(HostId from, long incarnation, PeerMessage message);

  /** Handles an exception that indicates a programming error. */
  void unexpectedError(Throwable error);
}
