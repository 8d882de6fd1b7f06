package org.mustardlatch.core.ledger;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;

/** Result of a request to start an attempt. */
public sealed interface StartResult {
  /** The start record of this attempt is stored: its node may dispatch it once. */
  record Started() implements StartResult {}

  /**
   * Another attempt has the key, or this attempt already ended.
   *
   * @param state STARTED while the attempt may be in progress, FINISHED or UNKNOWN
   * @param sameRequest whether the key was used with the same request digest
   * @param status HTTP status of the recorded response; 0 if there is none
   * @param response the recorded response; null if there is none or it is no longer kept
   */
  record Existing(RecordState state, boolean sameRequest, int status, @Nullable String response)
      implements StartResult {}

  /**
   * The writer stored no record of this attempt, and none of its writes can store one later.
   *
   * @param code reason of the refusal
   * @param retryAfter time after which the caller may retry
   */
  record NotStarted(ErrorCode code, Duration retryAfter) implements StartResult {}
}
