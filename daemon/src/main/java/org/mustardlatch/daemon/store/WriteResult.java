package org.mustardlatch.daemon.store;

import java.time.Duration;

/** Result of a conditional update. */
public sealed interface WriteResult {
  /**
   * The update was applied.
   *
   * @param version resource version of the object after the update
   */
  record Stored(String version) implements WriteResult {}

  /** The current version differs from the expected one; the update was not applied. */
  record Conflict() implements WriteResult {}

  /**
   * The update was not applied and never will be, because the object service refused it or because
   * nothing was sent.
   *
   * @param reason explanation for the log
   * @param tooLarge whether the object exceeds the size limit, so that a retry can't succeed
   * @param retryAfter delay requested by the object service; zero if it requested none
   */
  record Refused(String reason, boolean tooLarge, Duration retryAfter) implements WriteResult {}

  /**
   * The outcome is unknown. The update may have been applied, or may still be applied as long as
   * the expected version is the current one.
   *
   * @param reason explanation for the log
   */
  record Unknown(String reason) implements WriteResult {}
}
