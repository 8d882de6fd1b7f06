package org.mustardlatch.core.ledger;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;

/** What the caller of a keyed request gets. */
public sealed interface KeyedReply {
  /** This attempt ran; the caller gets the application's answer, which the entry node holds. */
  record Ran() implements KeyedReply {}

  /**
   * An earlier attempt ran.
   *
   * @param status its HTTP status
   * @param answer its answer; null when it is too long or too old to be kept
   */
  record Recorded(int status, @Nullable String answer) implements KeyedReply {}

  /** Nothing was or will be run for this call. */
  record NotRun(ErrorCode code, Duration retryAfter) implements KeyedReply {}

  /** Another attempt holds the key and is not finished. */
  record InProgress(Duration retryAfter) implements KeyedReply {}

  /** It may have run; it will not run again under this key. */
  record OutcomeUnknown() implements KeyedReply {}

  /** The key was used for another request. */
  record KeyReused() implements KeyedReply {}

  /** The key is older than the retention, so its record may be gone. */
  record KeyExpired() implements KeyedReply {}
}
