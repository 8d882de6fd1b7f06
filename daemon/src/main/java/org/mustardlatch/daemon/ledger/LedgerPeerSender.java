package org.mustardlatch.daemon.ledger;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.LedgerMessage;

/** Sends ledger messages to other nodes, for a {@link LedgerService}. */
@FunctionalInterface
public interface LedgerPeerSender {
  /**
   * Sends a message, which may be lost. Must not block and must not call the service synchronously.
   */
  void send(HostId to, LedgerMessage message);
}
