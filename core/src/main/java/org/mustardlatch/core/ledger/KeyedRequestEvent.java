package org.mustardlatch.core.ledger;

/** Events that a {@link KeyedRequest} handles. */
public sealed interface KeyedRequestEvent {
  /**
   * The request was accepted.
   *
   * @param ownedByOtherNode whether another node owns the shard, so that the start is forwarded
   */
  record Accepted(boolean ownedByOtherNode) implements KeyedRequestEvent {}

  /**
   * A shard writer responded to the start.
   *
   * @param source whether the owner or this node responded
   */
  record StartResponseReceived(ResponseSource source, StartResult result)
      implements KeyedRequestEvent {}

  /** The caller closed its connection. */
  record CallerDisconnected() implements KeyedRequestEvent {}

  /** The dispatch to the application ended. */
  record DispatchEnded(DispatchOutcome outcome) implements KeyedRequestEvent {}

  /**
   * A shard writer responded to the finish.
   *
   * @param stored whether the record contains the outcome; false if the attempt has no record or
   *     its record was cancelled
   */
  record FinishResponseReceived(boolean stored) implements KeyedRequestEvent {}

  /** The record was cancelled or does not exist. */
  record CancelResponseReceived() implements KeyedRequestEvent {}

  /** A timer fired. */
  record TimerFired(KeyedRequestTimer timer) implements KeyedRequestEvent {}
}
