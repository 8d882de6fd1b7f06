package org.mustardlatch.core.ledger;

import org.jspecify.annotations.Nullable;

/**
 * The full record of a key.
 *
 * @param key where it belongs
 * @param request digest of method, path and body
 * @param state state of the attempt
 * @param nonce names the attempt
 * @param host node that started it
 * @param incarnation incarnation of that node
 * @param startedSeconds wall-clock time of the start, seconds since 1970
 * @param changedSeconds wall-clock time of the last change, seconds since 1970
 * @param status HTTP status of the answer; 0 when there is none
 * @param answer the answer as the caller of the ledger encoded it; null when there is none
 */
record LedgerRecord(
    LedgerKey key,
    String request,
    RecordState state,
    String nonce,
    String host,
    long incarnation,
    long startedSeconds,
    long changedSeconds,
    int status,
    @Nullable String answer) {

  LedgerRecord to(RecordState next, int nextStatus, @Nullable String nextAnswer, long seconds) {
    return new LedgerRecord(
        key,
        request,
        next,
        nonce,
        host,
        incarnation,
        startedSeconds,
        seconds,
        nextStatus,
        nextAnswer);
  }
}
