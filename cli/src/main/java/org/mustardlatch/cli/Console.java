package org.mustardlatch.cli;

import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out stream for results
 * @param err stream for errors
 */
record Console(PrintStream out, PrintStream err) {
  /** Prints an error with its code, its location and its remedy. */
  void error(String code, String location, String message, String remedy) {
    err.println("error " + code + " at " + location + ": " + message);
    err.println("remedy: " + remedy);
  }
}
