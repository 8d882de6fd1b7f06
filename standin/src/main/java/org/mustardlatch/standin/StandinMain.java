package org.mustardlatch.standin;

import java.net.URI;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** The common part of the stand-ins' main methods. */
final class StandinMain {
  private static final int EXIT_USAGE = 2;

  private StandinMain() {}

  /** Reads the arguments into an object; exits with code 2 when they are wrong. */
  static void parse(Object arguments, String[] args) {
    CmdLineParser parser = new CmdLineParser(arguments);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println("error: " + e.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_USAGE);
    }
  }

  /**
   * Reads the arguments, starts the server, prints its URL as {@code listening on URL} and waits
   * until the process is stopped. Exits with code 2 when the arguments are wrong.
   */
  static void run(Object arguments, String[] args, Supplier<URI> start) {
    parse(arguments, args);
    System.out.println("listening on " + start.get());
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
