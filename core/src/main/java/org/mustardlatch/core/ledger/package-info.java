/**
 * At-most-once execution of keyed requests, that is requests with an idempotency key (design 4.4).
 * The ledger has one record per idempotency key, in one of {@link
 * org.mustardlatch.core.ledger.LedgerKey#SHARD_COUNT} shard objects of the object service. The
 * record belongs to the attempt that may run the request. Before the request is dispatched, that is
 * sent to the application, the record is stored in state STARTED (the start record). After the
 * dispatch the same record is changed to the outcome (the finish record).
 *
 * <p>The package contains the writer of a shard object and the state machine that a keyed request
 * has on its entry node, the node that holds the caller's connection. The entry node forwards
 * starts and finishes to the owner of the shard, a node that all nodes choose by the same rule, or
 * writes the record itself if the owner does not respond in time. The code does no I/O and starts
 * no threads; it uses the wall clock only for the timestamps in records. Its state machines are not
 * thread-safe.
 */
@NullMarked
package org.mustardlatch.core.ledger;

import org.jspecify.annotations.NullMarked;
