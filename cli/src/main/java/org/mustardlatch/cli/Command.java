package org.mustardlatch.cli;

/** A command of the command-line tool. */
interface Command {
  /**
   * Runs the command.
   *
   * @param console receives results and errors
   * @return the exit code, one of {@link ExitCode}
   */
  int run(Console console);
}
