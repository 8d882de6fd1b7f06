package org.mustardlatch.cli;

/** A command could not be carried out. */
final class OperatorApiException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final String code;
  private final String place;
  private final String remedy;
  private final int exitCode;

  OperatorApiException(String code, String place, String message, String remedy, int exitCode) {
    super(message);
    this.code = code;
    this.place = place;
    this.remedy = remedy;
    this.exitCode = exitCode;
  }

  String code() {
    return code;
  }

  String place() {
    return place;
  }

  String remedy() {
    return remedy;
  }

  int exitCode() {
    return exitCode;
  }
}
