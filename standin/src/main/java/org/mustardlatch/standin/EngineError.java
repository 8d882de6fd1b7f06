package org.mustardlatch.standin;

/** A refusal of an engine stand-in with its HTTP status and code. */
final class EngineError extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int status;
  private final String code;

  EngineError(int status, String code, String message) {
    super(message);
    this.status = status;
    this.code = code;
  }

  int status() {
    return status;
  }

  String code() {
    return code;
  }
}
