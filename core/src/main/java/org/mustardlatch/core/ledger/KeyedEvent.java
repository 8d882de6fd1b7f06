package org.mustardlatch.core.ledger;

/** What a {@link KeyedRequest} reacts to. */
public sealed interface KeyedEvent {
  /**
   * The request was accepted.
   *
   * @param forward whether another node owns the shard
   */
  record Begin(boolean forward) implements KeyedEvent {}

  /**
   * A start was answered.
   *
   * @param path who answered
   */
  record StartAnswered(StartPath path, StartResult result) implements KeyedEvent {}

  /** The caller closed its connection. */
  record CallerGone() implements KeyedEvent {}

  /** The dispatch ended. */
  record RunEnded(RunOutcome outcome) implements KeyedEvent {}

  /** The finish record was handled; false when it could not be stored because of its state. */
  record FinishAnswered(boolean stored) implements KeyedEvent {}

  /** The record was cancelled, or did not exist. */
  record Cancelled() implements KeyedEvent {}

  /** A timer fired. */
  record TimerFired(KeyedTimer timer) implements KeyedEvent {}
}
