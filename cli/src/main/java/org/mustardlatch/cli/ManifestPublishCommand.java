package org.mustardlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Publishes a manifest through a daemon. */
public final class ManifestPublishCommand implements Command {
  @Argument(required = true, metaVar = "FILE", usage = "manifest in TOML")
  String file = "";

  @Option(name = "--node", metaVar = "URL", usage = "operator address of any daemon")
  String nodeUrl = OperatorClient.DEFAULT_NODE_URL;

  @Option(
      name = "--base",
      required = true,
      metaVar = "N",
      usage = "revision that this manifest replaces; 0 for the first")
  long baseRevision;

  @Override
  public int run(Console console) {
    ManifestFile manifest = ManifestFile.read(file);
    if (manifest.manifestOrPrintFindings(console) == null) {
      return ExitCode.FAILED;
    }
    JsonNode answer = new OperatorClient(nodeUrl).publish(manifest.text(), baseRevision);
    console.out().println("accepted as revision " + answer.path("revision").asLong());
    return ExitCode.OK;
  }
}
