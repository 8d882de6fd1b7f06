package org.mustardlatch.cli;

/** A command of the command-line tool. */
interface Command {
  /**
   * Runs the command.
   *
   * @return the exit code, see {@link ExitCode}
   */
  int run(Console console);
}
