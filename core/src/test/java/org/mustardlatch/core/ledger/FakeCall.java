package org.mustardlatch.core.ledger;

import org.jspecify.annotations.Nullable;

/** One call of a caller with its responses and dispatches. */
final class FakeCall {
  final Attempt attempt;
  final long deadlineNanos;
  @Nullable KeyedResponse response;
  int responseCount;
  int dispatchCount;
  boolean callerDisconnected;
  boolean nodeDied;

  FakeCall(Attempt attempt, long deadlineNanos) {
    this.attempt = attempt;
    this.deadlineNanos = deadlineNanos;
  }

  void recordResponse(KeyedResponse newResponse) {
    response = newResponse;
    responseCount++;
  }
}
