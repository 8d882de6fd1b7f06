package org.mustardlatch.cli;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** A command that fetches one JSON document from a daemon and prints it. */
public abstract class DocumentCommand implements Command {
  @Option(name = "--node", metaVar = "URL", usage = "operator address of the daemon")
  String nodeUrl = OperatorClient.DEFAULT_NODE_URL;

  /** Returns the URL path of the document in the operator interface. */
  abstract String documentPath();

  @Override
  public int run(Console console) {
    console.out().println(new OperatorClient(nodeUrl).fetchDocument(documentPath()));
    return ExitCode.OK;
  }

  /** Prints the manifest revision, the members and the readiness of a daemon. */
  public static final class Status extends DocumentCommand {
    @Override
    String documentPath() {
      return "/status";
    }
  }

  /** Prints the full state of a daemon. */
  public static final class Dump extends DocumentCommand {
    @Override
    String documentPath() {
      return "/dump";
    }
  }

  /** Prints the routing decisions that a daemon has recorded about one request. */
  public static final class Explain extends DocumentCommand {
    @Argument(required = true, metaVar = "REQUEST-ID", usage = "value of X-Request-Id")
    String requestId = "";

    @Override
    String documentPath() {
      return "/explain/" + requestId;
    }
  }
}
