package org.mustardlatch.core.ledger;

/** Timers of a {@link KeyedRequest}. */
public enum KeyedRequestTimer {
  /** The owner of the shard did not respond in time. */
  FORWARD_TIMEOUT,
  /** The final deadline of the request. */
  DEADLINE,
  /** The record was not cancelled in time. */
  CANCEL_TIMEOUT,
  /** The finish record was not stored in time. */
  FINISH_TIMEOUT
}
