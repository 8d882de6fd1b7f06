package org.mustardlatch.daemon.peer;

import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;

/**
 * Listener for the events of {@link PeerService}. All methods do nothing by default. Calls are made
 * one at a time, on a network, timer or caller thread, and must not block.
 */
public interface PeerServiceListener {
  /** Called when the live nodes change, and once at startup with only this node in the list. */
  default void membersChanged(MemberList list) {}

  /**
   * Called when the other nodes may have declared this node dead. The node must stop dispatching,
   * cancel its own attempts of earlier incarnations, and only then accept new work.
   *
   * @param incarnation new incarnation of this node
   */
  default void fenced(long incarnation) {}

  /** Called after a manifest revision was activated on this node. */
  default void manifestApplied(long revision, String text) {}

  /**
   * Called when a revision published by this node is active on enough nodes that it can't be lost.
   */
  default void manifestAccepted(long revision) {}

  /**
   * Called when this node must start or stop watching the manifest in the object service. While it
   * watches, each manifest that was read is passed to {@link PeerService#manifestStored}.
   */
  default void watchManifest(boolean watch) {}

  /** Called once, when the node first has a manifest that is recent enough to serve requests. */
  default void configurationReady(long revision) {}

  /**
   * Called when an admission, evidence or ledger message arrives.
   *
   * @param from sending node
   * @param incarnation incarnation of the sending node
   */
  default void messageReceived(HostId from, long incarnation, PeerMessage message) {}
}
