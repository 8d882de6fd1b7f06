package org.mustardlatch.cli;

/** Exit codes of the command-line tool. */
final class ExitCode {
  /** The command succeeded. */
  static final int OK = 0;

  /** The command was refused or failed and changed nothing. */
  static final int FAILED = 1;

  /** The command line is invalid. */
  static final int USAGE = 2;

  /** The command may or may not have taken effect. */
  static final int OUTCOME_UNKNOWN = 3;

  private ExitCode() {}
}
