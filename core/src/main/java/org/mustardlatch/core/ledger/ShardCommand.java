package org.mustardlatch.core.ledger;

import com.fasterxml.jackson.databind.JsonNode;

/** What a {@link ShardWriter} asks for. At most one read or write is in progress at a time. */
public sealed interface ShardCommand {
  /** Read the object; answered by {@code ReadFinished} or {@code ReadFailed}. */
  record Read() implements ShardCommand {}

  /** Update the object on condition of this version; empty means that it must not exist. */
  record Write(String version, JsonNode content) implements ShardCommand {}

  /** Send {@code Woken} at this monotonic time; replaces an earlier one. */
  record WakeAt(long atNanos) implements ShardCommand {}

  /** Answers a {@code StartRequested}. */
  record StartAnswer(Attempt attempt, StartResult result) implements ShardCommand {}

  /** Answers a {@code CancelRequested}: the attempt did not run and its key is free. */
  record CancelAnswer(Attempt attempt) implements ShardCommand {}

  /**
   * Answers a {@code FinishRequested}.
   *
   * @param stored whether the record holds the outcome; false when it belongs to another attempt
   */
  record FinishAnswer(LedgerKey key, String nonce, boolean stored) implements ShardCommand {}
}
