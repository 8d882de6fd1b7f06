package org.mustardlatch.daemon.routing;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;

/** Sends messages to other nodes. */
@FunctionalInterface
public interface PeerSender {
  /** Sends a message without waiting; it may be lost. */
  void send(HostId to, PeerMessage message);
}
