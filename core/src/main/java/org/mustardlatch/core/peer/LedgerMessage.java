package org.mustardlatch.core.peer;

import org.jspecify.annotations.Nullable;

/**
 * Messages between an entry node and the node that writes a shard of the ledger, which records
 * attempts of requests with an idempotency key.
 */
public sealed interface LedgerMessage extends PeerMessage {
  /**
   * Requests a record that the attempt started.
   *
   * @param key digest of workspace and idempotency key, 32 hexadecimal digits
   * @param nonce unique identifier of the attempt; never reused
   * @param requestDigest digest of method, path and body, used to detect reuse of a key for another
   *     request
   */
  record LedgerStart(int shard, String key, String nonce, String requestDigest)
      implements LedgerMessage {}

  /**
   * Responds to a {@link LedgerStart} or {@link LedgerFinish}.
   *
   * @param requestedNonce nonce of the message that this responds to
   * @param state STARTED, FINISHED, UNKNOWN or CANCELLED, the state of the record; REFUSED if the
   *     writer of the shard made no record and never will for this message; REUSED if the key was
   *     used with another request digest
   * @param nonce the same nonce if the record is of that attempt, otherwise empty
   * @param status HTTP status of the recorded response; 0 if there is none
   * @param response recorded response, or null
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
   * Requests a record that the attempt ended. Acknowledged by {@link LedgerStarted} only once the
   * record is stored.
   *
   * @param state FINISHED or UNKNOWN
   */
  record LedgerFinish(
      int shard, String key, String nonce, String state, int status, @Nullable String response)
      implements LedgerMessage {}
}
