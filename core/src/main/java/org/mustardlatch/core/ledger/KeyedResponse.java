package org.mustardlatch.core.ledger;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;

/** Response to the caller of a keyed request. */
public sealed interface KeyedResponse {
  /** This attempt ran; the caller gets the application's response, which the entry node has. */
  record Ran() implements KeyedResponse {}

  /**
   * An earlier attempt ran and its response was recorded.
   *
   * @param status HTTP status of the recorded response
   * @param response the recorded response; null if it was too long to be stored or is no longer
   *     kept
   */
  record Recorded(int status, @Nullable String response) implements KeyedResponse {}

  /** The request of this call did not run and will not run. */
  record NotRun(ErrorCode code, Duration retryAfter) implements KeyedResponse {}

  /** Another attempt with the same key is in progress. */
  record InProgress(Duration retryAfter) implements KeyedResponse {}

  /** The request may have run; it will not run again with this key. */
  record OutcomeUnknown() implements KeyedResponse {}

  /** The key was already used for another request. */
  record KeyReused() implements KeyedResponse {}

  /** The key is older than the retention, so its record may have been removed. */
  record KeyExpired() implements KeyedResponse {}
}
