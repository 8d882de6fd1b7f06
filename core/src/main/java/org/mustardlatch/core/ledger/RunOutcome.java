package org.mustardlatch.core.ledger;

import org.jspecify.annotations.Nullable;

/** How the single dispatch of a keyed request ended. */
public sealed interface RunOutcome {
  /**
   * The application answered.
   *
   * @param status HTTP status, 100 to 599
   * @param answer the answer as it is to be repeated; null when it is longer than {@link
   *     LedgerLimits#MAX_ANSWER_CHARS}
   */
  record Answered(int status, @Nullable String answer) implements RunOutcome {
    /** Checks status and length. */
    public Answered {
      if (status < 100 || status > 599) {
        throw new IllegalArgumentException("HTTP status must be 100 to 599, got " + status);
      }
      if (answer != null && answer.length() > LedgerLimits.MAX_ANSWER_CHARS) {
        throw new IllegalArgumentException(
            "a recorded answer has at most "
                + LedgerLimits.MAX_ANSWER_CHARS
                + " characters, got "
                + answer.length());
      }
    }
  }

  /** Nothing was sent to the application, for example because the connection was refused. */
  record NotSent() implements RunOutcome {}

  /** It was sent, but whether it ran is not known. */
  record Unknown() implements RunOutcome {}
}
