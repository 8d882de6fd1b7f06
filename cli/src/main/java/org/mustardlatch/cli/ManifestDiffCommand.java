package org.mustardlatch.cli;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.ManifestDiff;
import org.mustardlatch.core.manifest.ManifestParser;

/** Compares two manifest files, or the manifest in force with a file. */
public final class ManifestDiffCommand implements Command {
  @Argument(required = true, metaVar = "FILE", usage = "manifest in TOML")
  String firstFile = "";

  @Argument(index = 1, metaVar = "FILE", usage = "newer manifest; without it, the one in force")
  String secondFile = "";

  @Option(name = "--node", metaVar = "URL", usage = "operator address of any daemon")
  String nodeUrl = OperatorClient.DEFAULT_NODE_URL;

  @Override
  public int run(Console console) {
    Manifest given = ManifestFile.read(firstFile).manifestOrPrintFindings(console);
    if (given == null) {
      return ExitCode.FAILED;
    }
    if (!secondFile.isEmpty()) {
      Manifest newer = ManifestFile.read(secondFile).manifestOrPrintFindings(console);
      return newer == null ? ExitCode.FAILED : print(console, given, newer);
    }
    String inForce = new OperatorClient(nodeUrl).fetchManifestText();
    Manifest older =
        ManifestParser.parse("manifest in force", inForce).orThrow(ErrorCode.MANIFEST_INVALID);
    return print(console, older, given);
  }

  private static int print(Console console, Manifest before, Manifest after) {
    ManifestDiff.compare(before, after).changes().forEach(console.out()::println);
    return ExitCode.OK;
  }
}
