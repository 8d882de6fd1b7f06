/**
 * At-most-once execution of keyed requests, that is requests with an idempotency key (design 4.4).
 * The ledger records each attempt of a keyed request in one of {@link
 * org.mustardlatch.core.ledger.LedgerKey#SHARD_COUNT} shard objects of the object service. The
 * package contains the writer of a shard object and the state machine that a keyed request has on
 * its entry node, the node that holds the caller's connection. The code does no I/O and starts no
 * threads; it uses the wall clock only for the timestamps in records.
 */
@NullMarked
package org.mustardlatch.core.ledger;

import org.jspecify.annotations.NullMarked;
