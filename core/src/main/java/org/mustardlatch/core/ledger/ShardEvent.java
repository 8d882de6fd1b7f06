package org.mustardlatch.core.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/** What a {@link ShardWriter} reacts to. */
public sealed interface ShardEvent {
  /** An attempt wants to start. */
  record StartRequested(Attempt attempt) implements ShardEvent {}

  /**
   * An attempt that was not dispatched, and never will be, gives up. Only its starter may ask.
   *
   * @param leaveMark whether to record the cancellation even when the record does not exist,
   *     because another node may still create it
   */
  record CancelRequested(Attempt attempt, boolean leaveMark) implements ShardEvent {}

  /**
   * An attempt ended.
   *
   * @param state FINISHED or UNKNOWN
   * @param status HTTP status of the answer; 0 when there is none
   * @param answer the answer, at most {@link LedgerLimits#MAX_ANSWER_CHARS}; null when there is
   *     none or it is longer
   */
  record FinishRequested(
      LedgerKey key, String nonce, RecordState state, int status, @Nullable String answer)
      implements ShardEvent {
    /** Checks state and length. */
    public FinishRequested {
      if (state != RecordState.FINISHED && state != RecordState.UNKNOWN) {
        throw new IllegalArgumentException("an attempt can't finish as " + state);
      }
      if (answer != null && answer.length() > LedgerLimits.MAX_ANSWER_CHARS) {
        throw new IllegalArgumentException(
            "an answer has at most "
                + LedgerLimits.MAX_ANSWER_CHARS
                + " characters, got "
                + answer.length());
      }
    }
  }

  /**
   * The object was read.
   *
   * @param version its version; empty when it does not exist
   * @param content its content; null when it does not exist
   */
  record ReadFinished(String version, @Nullable JsonNode content) implements ShardEvent {}

  /** The object could not be read. */
  record ReadFailed() implements ShardEvent {}

  /** The write was applied and the object has this version. */
  record WriteStored(String version) implements ShardEvent {}

  /** The write was not applied, because the object has another version. */
  record WriteConflicted() implements ShardEvent {}

  /** The write was not applied and never will be. */
  record WriteRefused(boolean tooLarge, long retryAfterNanos) implements ShardEvent {}

  /** The write may have been applied, or may be applied later. */
  record WriteUnknown() implements ShardEvent {}

  /** The time of the last {@link ShardCommand.WakeAt} has come. */
  record Woken() implements ShardEvent {}
}
