package org.mustardlatch.core.ledger;

import org.jspecify.annotations.Nullable;

/** One call of a caller and what became of it. */
final class FakeCall {
  final Attempt attempt;
  final long deadlineNanos;
  @Nullable KeyedReply reply;
  int replies;
  int dispatches;
  boolean callerGone;
  boolean nodeDied;

  FakeCall(Attempt attempt, long deadlineNanos) {
    this.attempt = attempt;
    this.deadlineNanos = deadlineNanos;
  }

  void replied(KeyedReply r) {
    reply = r;
    replies++;
  }
}
