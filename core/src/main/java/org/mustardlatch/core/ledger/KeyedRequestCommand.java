package org.mustardlatch.core.ledger;

/** Commands that a {@link KeyedRequest} emits for its {@link LedgerNode}. */
public sealed interface KeyedRequestCommand {
  /** Send the start to the owner of the shard, another node, which stores the start record. */
  record ForwardStart(Attempt attempt) implements KeyedRequestCommand {}

  /** Store the start record with this node's own writer of the shard. */
  record StartLocally(Attempt attempt) implements KeyedRequestCommand {}

  /** Send the request to the application; emitted at most once. */
  record Dispatch() implements KeyedRequestCommand {}

  /** Send the finish to the owner of the shard, another node, which stores the finish record. */
  record ForwardFinish(ShardEvent.FinishRequested request) implements KeyedRequestCommand {}

  /** Store the finish record with this node's own writer of the shard. */
  record FinishLocally(ShardEvent.FinishRequested request) implements KeyedRequestCommand {}

  /**
   * Cancel the record with this node's own writer of the shard.
   *
   * @param createIfAbsent whether to store a CANCELLED record even if the attempt has no record yet
   */
  record CancelLocally(Attempt attempt, boolean createIfAbsent) implements KeyedRequestCommand {}

  /** Respond to the caller; emitted exactly once. */
  record Respond(KeyedResponse response) implements KeyedRequestCommand {}

  /** Send {@code TimerFired} with this timer at the given monotonic time. */
  record SetTimer(KeyedRequestTimer timer, long atNanos) implements KeyedRequestCommand {}
}
