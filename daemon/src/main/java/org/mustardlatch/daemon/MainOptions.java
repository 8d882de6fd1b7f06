package org.mustardlatch.daemon;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Command-line options of the daemon. */
final class MainOptions {
  @Option(name = "--config", metaVar = "FILE", usage = "settings of this node in TOML")
  private String config = "";

  @Option(
      name = "--set",
      metaVar = "KEY=VALUE",
      usage = "setting that goes before the one in FILE; only for files of such lines")
  private List<String> overrides = new ArrayList<>();

  @Option(name = "--help", help = true, usage = "print this text")
  private boolean help;

  @Option(name = "--version", help = true, usage = "print the version")
  private boolean version;

  String config() {
    return config;
  }

  /** Returns settings of the form key=value that go before those of the file. */
  List<String> overrides() {
    return overrides;
  }

  boolean help() {
    return help;
  }

  boolean version() {
    return version;
  }
}
