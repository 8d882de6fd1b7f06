package org.mustardlatch.core.error;

import org.jspecify.annotations.Nullable;

/** An error with a stable {@link ErrorCode}, which is returned to a caller or an operator. */
public class MustardlatchException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;

  /**
   * Creates an exception without a cause.
   *
   * @param code stable code of the error
   * @param message description of the error, with the offending value
   */
  public MustardlatchException(ErrorCode code, String message) {
    this(code, message, null);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param code stable code of the error
   * @param message description of the error, with the offending value
   * @param cause the underlying error, or null
   */
  public MustardlatchException(ErrorCode code, String message, @Nullable Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /** Returns the stable code of this error. */
  public ErrorCode code() {
    return code;
  }
}
