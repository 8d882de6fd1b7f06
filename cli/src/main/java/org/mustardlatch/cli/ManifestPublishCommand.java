package org.mustardlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Publishes a manifest to the fleet through the operator interface of any daemon. */
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
    ManifestFile manifestFile = ManifestFile.read(file);
    if (manifestFile.manifestOrPrintFindings(console) == null) {
      return ExitCode.FAILED;
    }
    JsonNode response = new OperatorClient(nodeUrl).publish(manifestFile.text(), baseRevision);
    console.out().println("accepted as revision " + response.path("revision").asLong());
    return ExitCode.OK;
  }
}
