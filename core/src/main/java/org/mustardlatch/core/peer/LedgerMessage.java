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
   * Answer to a start or a finish.
   *
   * @param state STARTED, FINISHED, UNKNOWN or CANCELLED, the state of the record; REFUSED when the
   *     owner made no record and never will for this message; REUSED when the key was used with
   *     another request digest
   * @param nonce the asked attempt when the record is its own, else empty
   * @param status HTTP status of the recorded answer; 0 when there is none
   * @param response the recorded answer, or null
   */
  record LedgerStarted(
      String key,
      String requestedNonce,
      String state,
      String nonce,
      int status,
      @Nullable String response)
      implements LedgerMessage {}

  /**
   * Records the end of an attempt; answered by {@link LedgerStarted} once it is stored, else not.
   *
   * @param state FINISHED or UNKNOWN
   */
  record LedgerFinish(
      int shard, String key, String nonce, String state, int status, @Nullable String response)
      implements LedgerMessage {}
}
