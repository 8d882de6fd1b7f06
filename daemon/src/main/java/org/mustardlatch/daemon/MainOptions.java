package org.mustardlatch.daemon;

import org.kohsuke.args4j.Option;

/** Command-line options of the daemon. */
final class MainOptions {
  @Option(name = "--config", metaVar = "FILE", usage = "settings of this node in TOML")
  private String config = "";

  @Option(name = "--help", help = true, usage = "print this text")
  private boolean help;

  @Option(name = "--version", help = true, usage = "print the version")
  private boolean version;

  String config() {
    return config;
  }

  boolean help() {
    return help;
  }

  boolean version() {
    return version;
  }
}
