package org.mustardlatch.cli;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.ManifestDiff;
import org.mustardlatch.core.manifest.ManifestParser;

/** Compares two manifest files, or the active manifest with a file. */
public final class ManifestDiffCommand implements Command {
  @Argument(required = true, metaVar = "FILE", usage = "manifest in TOML")
  String firstFile = "";

  @Argument(
      index = 1,
      metaVar = "FILE",
      usage = "newer manifest; if absent, the first file is compared with the active manifest")
  String secondFile = "";

  @Option(name = "--node", metaVar = "URL", usage = "operator address of any daemon")
  String nodeUrl = OperatorClient.DEFAULT_NODE_URL;

  @Override
  public int run(Console console) {
    Manifest firstManifest = ManifestFile.read(firstFile).manifestOrPrintFindings(console);
    if (firstManifest == null) {
      return ExitCode.FAILED;
    }
    if (!secondFile.isEmpty()) {
      Manifest secondManifest = ManifestFile.read(secondFile).manifestOrPrintFindings(console);
      return secondManifest == null
          ? ExitCode.FAILED
          : print(console, firstManifest, secondManifest);
    }
    String activeText = new OperatorClient(nodeUrl).fetchManifestText();
    Manifest activeManifest =
        ManifestParser.parse("active manifest", activeText).orThrow(ErrorCode.MANIFEST_INVALID);
    return print(console, activeManifest, firstManifest);
  }

  private static int print(Console console, Manifest before, Manifest after) {
    ManifestDiff.compare(before, after).changes().forEach(console.out()::println);
    return ExitCode.OK;
  }
}
