package org.mustardlatch.core.ledger;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;

/** Answer to the request to start an attempt. */
public sealed interface StartResult {
  /** The record exists and names this attempt: its starter may dispatch it once. */
  record Started() implements StartResult {}

  /**
   * Another attempt has the key, or this one is over.
   *
   * @param state STARTED while it may be in progress, FINISHED, or UNKNOWN
   * @param sameRequest whether the key was used with the same request digest
   * @param status HTTP status of the recorded answer; 0 when there is none
   * @param answer the recorded answer; null when there is none or it is no longer kept
   */
  record Existing(RecordState state, boolean sameRequest, int status, @Nullable String answer)
      implements StartResult {}

  /**
   * The writer made no record of this attempt, and none of its writes can make one later.
   *
   * @param code why
   * @param retryAfter time after which a new attempt makes sense
   */
  record NotStarted(ErrorCode code, Duration retryAfter) implements StartResult {}
}
