package org.mustardlatch.core.ledger;

import org.jspecify.annotations.Nullable;

/** A change of one record that a {@link ShardWriter} has not settled yet. */
final class PendingChange {
  /** What is to become of the record. */
  sealed interface Goal {
    /** Create it as STARTED. */
    record Start(Attempt attempt) implements Goal {}

    /** Turn it from STARTED to CANCELLED. */
    record Cancel(Attempt attempt, boolean leaveMark) implements Goal {}

    /** Turn it from STARTED to its end. */
    record Finish(ShardEvent.FinishRequested request) implements Goal {}
  }

  private final Goal goal;
  private final long sinceNanos;
  private boolean exposed;
  private @Nullable PendingChange next;

  PendingChange(Goal goal, long sinceNanos) {
    this.goal = goal;
    this.sinceNanos = sinceNanos;
  }

  Goal goal() {
    return goal;
  }

  long sinceNanos() {
    return sinceNanos;
  }

  /** Whether a write whose result is not known contains this change, so it may still be applied. */
  boolean exposed() {
    return exposed;
  }

  void setExposed(boolean value) {
    exposed = value;
  }

  /** The change that follows this one once the write in progress has ended; null for none. */
  @Nullable PendingChange next() {
    return next;
  }

  void setNext(PendingChange change) {
    next = change;
  }

  boolean isStart() {
    return goal instanceof Goal.Start;
  }
}
