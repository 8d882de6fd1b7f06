package org.mustardlatch.core.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/** Events that a {@link ShardWriter} handles. */
public sealed interface ShardEvent {
  /** A node requests the start record of an attempt. */
  record StartRequested(Attempt attempt) implements ShardEvent {}

  /**
   * The node that started an attempt cancels it. The attempt was not dispatched and never will be.
   *
   * @param createIfAbsent whether to store a CANCELLED record even if the attempt has no record,
   *     because another node may still create a start record
   */
  record CancelRequested(Attempt attempt, boolean createIfAbsent) implements ShardEvent {}

  /**
   * A node requests the finish record of an attempt that ended.
   *
   * @param state FINISHED or UNKNOWN
   * @param status HTTP status of the response; 0 if there is none
   * @param response the response of at most {@link LedgerLimits#MAX_RESPONSE_CHARS} characters;
   *     null if there is none or it is longer
   */
  record FinishRequested(
      LedgerKey key, String nonce, RecordState state, int status, @Nullable String response)
      implements ShardEvent {
    /** Validates state and response length. */
    public FinishRequested {
      if (state != RecordState.FINISHED && state != RecordState.UNKNOWN) {
        throw new IllegalArgumentException("an attempt can't finish in state " + state);
      }
      if (response != null && response.length() > LedgerLimits.MAX_RESPONSE_CHARS) {
        throw new IllegalArgumentException(
            "a response must have at most "
                + LedgerLimits.MAX_RESPONSE_CHARS
                + " characters, got "
                + response.length());
      }
    }
  }

  /**
   * The shard object was read.
   *
   * @param version version of the object; empty if it does not exist
   * @param content content of the object; null if it does not exist
   */
  record ReadFinished(String version, @Nullable JsonNode content) implements ShardEvent {}

  /** The shard object could not be read. */
  record ReadFailed() implements ShardEvent {}

  /** The write was applied and the object has this version. */
  record WriteStored(String version) implements ShardEvent {}

  /** The write was not applied, because the object has another version. */
  record WriteConflicted() implements ShardEvent {}

  /**
   * The write was rejected: it was not applied and never will be.
   *
   * @param tooLarge whether the content exceeds the size limit of the object service
   * @param retryAfterNanos minimum time until the next read or write
   */
  record WriteRefused(boolean tooLarge, long retryAfterNanos) implements ShardEvent {}

  /** The result of the write is unknown: it may have been applied or may be applied later. */
  record WriteUnknown() implements ShardEvent {}

  /** The timer of the last {@link ShardCommand.SetTimer} fired. */
  record TimerFired() implements ShardEvent {}
}
