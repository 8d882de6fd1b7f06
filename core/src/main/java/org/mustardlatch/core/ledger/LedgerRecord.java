package org.mustardlatch.core.ledger;

import org.jspecify.annotations.Nullable;

/**
 * Full record of an idempotency key.
 *
 * @param key ledger key of the record
 * @param requestDigest digest of method, path and body
 * @param state state of the attempt
 * @param nonce nonce of the attempt
 * @param host node that started the attempt
 * @param incarnation incarnation of that node
 * @param startedSeconds wall-clock time of the start, seconds since 1970
 * @param changedSeconds wall-clock time of the last change, seconds since 1970
 * @param status HTTP status of the response; 0 if there is none
 * @param response the response as the user of the ledger encoded it; null if there is none
 */
record LedgerRecord(
    LedgerKey key,
    String requestDigest,
    RecordState state,
    String nonce,
    String host,
    long incarnation,
    long startedSeconds,
    long changedSeconds,
    int status,
    @Nullable String response) {

  LedgerRecord withState(
      RecordState next, int nextStatus, @Nullable String nextResponse, long seconds) {
    return new LedgerRecord(
        key,
        requestDigest,
        next,
        nonce,
        host,
        incarnation,
        startedSeconds,
        seconds,
        nextStatus,
        nextResponse);
  }
}
