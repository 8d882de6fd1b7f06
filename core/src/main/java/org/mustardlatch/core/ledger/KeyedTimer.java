package org.mustardlatch.core.ledger;

/** Timers of a {@link KeyedRequest}. */
public enum KeyedTimer {
  /** The owner took too long to answer. */
  FORWARD,
  /** The final deadline of the request. */
  DEADLINE,
  /** The cancellation of the record took too long. */
  CANCEL,
  /** The finish record took too long. */
  FINISH
}
