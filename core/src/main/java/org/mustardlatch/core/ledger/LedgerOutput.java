package org.mustardlatch.core.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.LedgerMessage;

/**
 * What a {@link LedgerNode} asks for. Implementations must not call the node back before its method
 * has returned.
 */
public interface LedgerOutput {
  /** Read the shard's object; answered by {@code ReadFinished} or {@code ReadFailed}. */
  void read(int shard);

  /** Update the shard's object on condition of its version; answered by a write event. */
  void write(int shard, String version, JsonNode content);

  /** Send {@code Woken} to the shard at this monotonic time; replaces an earlier one. */
  void wake(int shard, long atNanos);

  /** Send {@code TimerFired} to the request at this monotonic time. */
  void setTimer(String nonce, KeyedTimer timer, long atNanos);

  /** Dispatch the request; comes at most once per nonce. */
  void dispatch(String nonce);

  /** Answer the caller; comes exactly once per nonce. */
  void reply(String nonce, KeyedReply reply);

  /** Send a message to another node; it may be lost. */
  void send(HostId to, LedgerMessage message);
}
