package org.mustardlatch.cli;

/**
 * A failure of a command, with what the console prints about it and the exit code of the process.
 */
final class CommandException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final String code;
  private final String location;
  private final String remedy;
  private final int exitCode;

  CommandException(String code, String location, String message, String remedy, int exitCode) {
    super(message);
    this.code = code;
    this.location = location;
    this.remedy = remedy;
    this.exitCode = exitCode;
  }

  String code() {
    return code;
  }

  String location() {
    return location;
  }

  String remedy() {
    return remedy;
  }

  int exitCode() {
    return exitCode;
  }
}
