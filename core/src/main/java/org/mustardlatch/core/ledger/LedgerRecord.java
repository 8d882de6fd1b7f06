package org.mustardlatch.core.ledger;

import org.jspecify.annotations.Nullable;

/**
 * Full record of an idempotency key. {@link LedgerLimits#FULL_RECORD_RETENTION} after its last
 * change it is replaced by a {@link CompactRecord}, unless it is STARTED or CANCELLED.
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
 * @param response the encoded response of the application, which the ledger does not interpret;
 *     null if there is none or it was not stored because of its size
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
