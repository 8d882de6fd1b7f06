package org.mustardlatch.core.ledger;

/** What a {@link KeyedRequest} asks for. */
public sealed interface KeyedCommand {
  /** Ask the owner of the shard to start the attempt. */
  record ForwardStart(Attempt attempt) implements KeyedCommand {}

  /** Start the attempt with this node's writer of the shard. */
  record StartDirectly(Attempt attempt) implements KeyedCommand {}

  /** Send the request to the application; comes at most once. */
  record Dispatch() implements KeyedCommand {}

  /** Ask the owner of the shard to record the end. */
  record ForwardFinish(ShardEvent.FinishRequested request) implements KeyedCommand {}

  /** Record the end with this node's writer of the shard. */
  record FinishDirectly(ShardEvent.FinishRequested request) implements KeyedCommand {}

  /** Cancel the attempt with this node's writer of the shard. */
  record CancelDirectly(Attempt attempt, boolean leaveMark) implements KeyedCommand {}

  /** Answer the caller; comes exactly once. */
  record Reply(KeyedReply reply) implements KeyedCommand {}

  /** Fire this timer at this monotonic time. */
  record SetTimer(KeyedTimer timer, long atNanos) implements KeyedCommand {}
}
