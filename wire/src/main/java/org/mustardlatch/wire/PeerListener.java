package org.mustardlatch.wire;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;

/** Receives the messages that other nodes send to a {@link PeerTransport}. */
@FunctionalInterface
public interface PeerListener {
  /**
   * Handles a message. Called on an event loop thread; must not block.
   *
   * @param from sender; with TLS, its certificate contains this name
   * @param incarnation incarnation of the sender when it sent the message
   * @param message the decoded message
   */
  void messageReceived(HostId from, long incarnation, PeerMessage message);
}
