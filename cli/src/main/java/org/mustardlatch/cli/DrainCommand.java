package org.mustardlatch.cli;

import org.kohsuke.args4j.Option;

/** Stops a daemon gracefully: it finishes its requests and accepts no new ones. */
public final class DrainCommand implements Command {
  @Option(name = "--node", metaVar = "URL", usage = "operator address of the daemon")
  String nodeUrl = OperatorClient.DEFAULT_NODE_URL;

  @Override
  public int run(Console console) {
    new OperatorClient(nodeUrl).drain();
    console.out().println("draining; the daemon exits when its last request has ended");
    return ExitCode.OK;
  }
}
