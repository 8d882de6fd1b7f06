package org.mustardlatch.daemon.routing;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;

/** Sends peer messages to other nodes. */
@FunctionalInterface
public interface PeerSender {
  /** Sends a message without blocking; the message may be lost. */
  void send(HostId to, PeerMessage message);
}
