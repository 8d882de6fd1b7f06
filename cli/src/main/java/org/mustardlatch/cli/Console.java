package org.mustardlatch.cli;

import java.io.PrintStream;

/**
 * Where a command prints.
 *
 * @param out results
 * @param err errors
 */
record Console(PrintStream out, PrintStream err) {
  /** Prints an error with its code, its place and what to do about it. */
  void error(String code, String place, String message, String remedy) {
    err.println("error " + code + " at " + place + ": " + message);
    err.println("remedy: " + remedy);
  }
}
