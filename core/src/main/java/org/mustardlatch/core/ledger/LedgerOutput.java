package org.mustardlatch.core.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.LedgerMessage;

/**
 * Operations that a {@link LedgerNode} requests. An implementation must not call the node from
 * within these methods.
 */
public interface LedgerOutput {
  /** Reads the shard object; the result is {@code ReadFinished} or {@code ReadFailed}. */
  void read(int shard);

  /**
   * Updates the shard object on condition that it has this version; the result is one of the {@code
   * Write...} events.
   */
  void write(int shard, String version, JsonNode content);

  /**
   * Sends {@code TimerFired} to the shard at the given monotonic time; replaces its earlier timer.
   */
  void setShardTimer(int shard, long atNanos);

  /** Sends {@code TimerFired} with this timer to the request at the given monotonic time. */
  void setRequestTimer(String nonce, KeyedRequestTimer timer, long atNanos);

  /** Dispatches the request; called at most once per nonce. */
  void dispatch(String nonce);

  /** Responds to the caller; called exactly once per nonce. */
  void respond(String nonce, KeyedResponse response);

  /** Sends a message to another node; it may be lost. */
  void send(HostId to, LedgerMessage message);
}
