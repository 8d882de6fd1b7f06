package org.mustardlatch.core.ledger;

import org.jspecify.annotations.Nullable;

/** Outcome of the single dispatch of a keyed request. */
public sealed interface DispatchOutcome {
  /**
   * The application responded.
   *
   * @param status HTTP status, 100 to 599
   * @param response the response to return to later requests with the same key; null if it is
   *     longer than {@link LedgerLimits#MAX_RESPONSE_CHARS}
   */
  record Completed(int status, @Nullable String response) implements DispatchOutcome {
    /** Validates status and response length. */
    public Completed {
      if (status < 100 || status > 599) {
        throw new IllegalArgumentException("HTTP status must be 100 to 599, got " + status);
      }
      if (response != null && response.length() > LedgerLimits.MAX_RESPONSE_CHARS) {
        throw new IllegalArgumentException(
            "a recorded response must have at most "
                + LedgerLimits.MAX_RESPONSE_CHARS
                + " characters, got "
                + response.length());
      }
    }
  }

  /** Nothing was sent to the application, for example because the connection was refused. */
  record NotSent() implements DispatchOutcome {}

  /** The request was sent, but whether it ran is unknown. */
  record Unknown() implements DispatchOutcome {}
}
