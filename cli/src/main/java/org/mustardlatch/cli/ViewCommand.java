package org.mustardlatch.cli;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** A command that prints one document of a daemon. */
public abstract class ViewCommand implements Command {
  @Option(name = "--node", metaVar = "URL", usage = "operator address of the daemon")
  String node = OperatorClient.DEFAULT_NODE;

  /** Returns the path of the document on the operator address. */
  abstract String path();

  @Override
  public int run(Console console) {
    console.out().println(new OperatorClient(node).document(path()));
    return ExitCode.OK;
  }

  /** Prints revision, members and readiness. */
  public static final class Status extends ViewCommand {
    @Override
    String path() {
      return "/status";
    }
  }

  /** Prints the full state. */
  public static final class Dump extends ViewCommand {
    @Override
    String path() {
      return "/dump";
    }
  }

  /** Prints the decisions about one request. */
  public static final class Explain extends ViewCommand {
    @Argument(required = true, metaVar = "REQUEST-ID", usage = "value of X-Request-Id")
    String request = "";

    @Override
    String path() {
      return "/explain/" + request;
    }
  }
}
