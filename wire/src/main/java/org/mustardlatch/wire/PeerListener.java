package org.mustardlatch.wire;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;

/** Receives the messages of other nodes. */
@FunctionalInterface
public interface PeerListener {
  /**
   * A message arrived. Called on a network thread, must not block.
   *
   * @param from sender; with TLS it is a name in the sender's certificate
   * @param incarnation incarnation of the sender when it sent the message
   * @param message the message
   */
  void messageReceived(HostId from, long incarnation, PeerMessage message);
}
