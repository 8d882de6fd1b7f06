package org.mustardlatch.core.ledger;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Commands that a {@link ShardWriter} emits. At most one read or write is in progress at a time.
 */
public sealed interface ShardCommand {
  /** Read the shard object; the result is {@code ReadFinished} or {@code ReadFailed}. */
  record Read() implements ShardCommand {}

  /** Update the shard object on condition that it has this version; empty if it must not exist. */
  record Write(String version, JsonNode content) implements ShardCommand {}

  /** Send {@code TimerFired} at the given monotonic time; replaces an earlier timer. */
  record SetTimer(long atNanos) implements ShardCommand {}

  /** Response to {@code StartRequested}. */
  record StartResponse(Attempt attempt, StartResult result) implements ShardCommand {}

  /** Response to {@code CancelRequested}: the attempt has no record in state STARTED. */
  record CancelResponse(Attempt attempt) implements ShardCommand {}

  /**
   * Response to {@code FinishRequested}.
   *
   * @param stored whether the record contains the outcome; false if the attempt has no record or
   *     its record was cancelled
   */
  record FinishResponse(LedgerKey key, String nonce, boolean stored) implements ShardCommand {}
}
