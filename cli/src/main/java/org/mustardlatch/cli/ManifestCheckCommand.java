package org.mustardlatch.cli;

import org.kohsuke.args4j.Argument;
import org.mustardlatch.core.manifest.Manifest;

/** Validates a manifest file locally, without a daemon. */
public final class ManifestCheckCommand implements Command {
  @Argument(required = true, metaVar = "FILE", usage = "manifest in TOML")
  String file = "";

  @Override
  public int run(Console console) {
    Manifest manifest = ManifestFile.read(file).manifestOrPrintFindings(console);
    if (manifest == null) {
      return ExitCode.FAILED;
    }
    console
        .out()
        .printf(
            "%s: valid, %d upstreams, %d models, %d workspaces, %d routes%n",
            file,
            manifest.upstreams().size(),
            manifest.models().size(),
            manifest.workspaces().size(),
            manifest.routes().size());
    return ExitCode.OK;
  }
}
