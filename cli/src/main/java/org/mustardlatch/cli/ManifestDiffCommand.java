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
  String first = "";

  @Argument(index = 1, metaVar = "FILE", usage = "newer manifest; without it, the one in force")
  String second = "";

  @Option(name = "--node", metaVar = "URL", usage = "operator address of any daemon")
  String node = OperatorClient.DEFAULT_NODE;

  @Override
  public int run(Console console) {
    Manifest given = ManifestFile.read(first).orPrint(console);
    if (given == null) {
      return ExitCode.FAILED;
    }
    if (!second.isEmpty()) {
      Manifest newer = ManifestFile.read(second).orPrint(console);
      return newer == null ? ExitCode.FAILED : print(console, given, newer);
    }
    String inForce = new OperatorClient(node).manifestText();
    Manifest older =
        ManifestParser.parse("manifest in force", inForce).orThrow(ErrorCode.MANIFEST_INVALID);
    return print(console, older, given);
  }

  private static int print(Console console, Manifest before, Manifest after) {
    ManifestDiff.between(before, after).changes().forEach(console.out()::println);
    return ExitCode.OK;
  }
}
