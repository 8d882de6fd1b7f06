package org.mustardlatch.core.ledger;

import org.jspecify.annotations.Nullable;

/** A requested change of one record to which a {@link ShardWriter} has not responded yet. */
final class PendingChange {
  /** The requested change. */
  sealed interface Operation {
    /** Creates the record as STARTED. */
    record Start(Attempt attempt) implements Operation {}

    /**
     * Changes the record from STARTED to CANCELLED.
     *
     * @param createIfAbsent whether to create a CANCELLED record if the attempt has none
     */
    record Cancel(Attempt attempt, boolean createIfAbsent) implements Operation {}

    /** Changes the record from STARTED or UNKNOWN to the outcome of the attempt. */
    record Finish(ShardEvent.FinishRequested request) implements Operation {}
  }

  private final Operation operation;
  private final long requestedAtNanos;
  private boolean inUnknownWrite;
  private @Nullable PendingChange next;

  PendingChange(Operation operation, long requestedAtNanos) {
    this.operation = operation;
    this.requestedAtNanos = requestedAtNanos;
  }

  Operation operation() {
    return operation;
  }

  long requestedAtNanos() {
    return requestedAtNanos;
  }

  /**
   * Returns whether a write with an unknown result contains this change, so that the change may
   * still be applied.
   */
  boolean inUnknownWrite() {
    return inUnknownWrite;
  }

  void setInUnknownWrite(boolean value) {
    inUnknownWrite = value;
  }

  /**
   * Returns the change that replaces this one after the write in progress; null if there is none.
   */
  @Nullable PendingChange next() {
    return next;
  }

  void setNext(PendingChange change) {
    next = change;
  }

  boolean isStart() {
    return operation instanceof Operation.Start;
  }
}
