package org.mustardlatch.core.error;

import org.jspecify.annotations.Nullable;

/** An error with a stable code. All errors that reach callers or operators are of this type. */
public class MustardlatchException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;

  /**
   * Creates an error.
   *
   * @param code the stable code
   * @param message what is wrong, with the offending value
   */
  public MustardlatchException(ErrorCode code, String message) {
    this(code, message, null);
  }

  /**
   * Creates an error with a cause.
   *
   * @param code the stable code
   * @param message what is wrong, with the offending value
   * @param cause the underlying error, or null
   */
  public MustardlatchException(ErrorCode code, String message, @Nullable Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /** Returns the stable code. */
  public ErrorCode code() {
    return code;
  }
}
