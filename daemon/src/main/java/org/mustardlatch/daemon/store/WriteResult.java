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

  /** The object has another version than the named one; the update was not applied. */
  record Conflict() implements WriteResult {}

  /**
   * The update was not applied and never will be: the object service refused it, or nothing was
   * sent.
   *
   * @param reason for the log
   * @param tooLarge whether the object exceeds the size limit, so that repeating it is useless
   * @param retryAfter time that the object service asks to wait; zero when it named none
   */
  record Refused(String reason, boolean tooLarge, Duration retryAfter) implements WriteResult {}

  /**
   * The update may have been applied, or may be applied at any later time while the named version
   * is the current one.
   *
   * @param reason for the log
   */
  record Unknown(String reason) implements WriteResult {}
}
