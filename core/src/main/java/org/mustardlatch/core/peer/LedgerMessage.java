package org.mustardlatch.core.peer;

import org.jspecify.annotations.Nullable;

/** Messages between an entry node and the node that writes a ledger shard. */
public sealed interface LedgerMessage extends PeerMessage {
  /**
   * Asks for a record that the attempt started.
   *
   * @param key digest of workspace and idempotency key, 32 hexadecimal digits
   * @param nonce names the attempt; never used twice
   * @param requestDigest digest of method, path and body, to detect reuse of a key
   */
  record LedgerStart(int shard, String key, String nonce, String requestDigest)
      implements LedgerMessage {}

  /**
   * Answer to a start.
   *
   * @param state state of the record
   * @param nonce the attempt that holds the record
   * @param status HTTP status of the recorded answer; 0 when there is none
   * @param answer the recorded answer, or null
   */
  record LedgerStarted(
      String key,
      String askedNonce,
      String state,
      String nonce,
      int status,
      @Nullable String answer)
      implements LedgerMessage {}

  /** Records the end of an attempt. */
  record LedgerFinish(
      int shard, String key, String nonce, String state, int status, @Nullable String answer)
      implements LedgerMessage {}
}
