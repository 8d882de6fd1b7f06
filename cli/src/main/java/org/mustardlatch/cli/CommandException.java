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

  /**
   * Creates an exception.
   *
   * @param code stable code of the error; a daemon's code if the daemon returned the error
   * @param location what the error concerns, for example a file, a URL or an option
   * @param message description of the error
   * @param remedy how to correct the error
   * @param exitCode one of {@link ExitCode}
   */
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
