package org.mustardlatch.daemon.ledger;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.LedgerMessage;

/** Sends ledger messages to other nodes. */
@FunctionalInterface
public interface LedgerPeerSender {
  /** Sends a message; must not block, may lose it, and must not call the service back at once. */
  void send(HostId to, LedgerMessage message);
}
