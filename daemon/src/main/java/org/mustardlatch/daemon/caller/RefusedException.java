package org.mustardlatch.daemon.caller;

import java.time.Duration;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;

/** An error for a caller, with the time to wait before a retry for the Retry-After header. */
final class RefusedException extends MustardlatchException {
  private static final long serialVersionUID = 1L;

  private final transient Duration retryAfter;

  RefusedException(ErrorCode code, String message, Duration retryAfter) {
    super(code, message);
    this.retryAfter = retryAfter;
  }

  /** Returns the time to wait before a retry; zero if a retry is of no use. */
  Duration retryAfter() {
    return retryAfter;
  }
}
