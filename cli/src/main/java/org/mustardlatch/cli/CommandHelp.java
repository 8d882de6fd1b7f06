package org.mustardlatch.cli;

/** The commands with the synopsis and the summary that the help text shows. */
enum CommandHelp {
  MANIFEST_CHECK("manifest check FILE", "check a manifest and print every finding"),
  MANIFEST_PUBLISH("manifest publish FILE --base N", "publish a manifest that replaces revision N"),
  MANIFEST_DIFF(
      "manifest diff FILE [FILE]", "compare two files, or the active manifest with a file"),
  STATUS("status", "print revision, members and readiness of a daemon"),
  DUMP("dump", "print the full state of a daemon as JSON"),
  DRAIN("drain", "stop a daemon gracefully"),
  EXPLAIN("explain REQUEST-ID", "print the routing decisions about a request"),
  REPLAY("replay TRACE --manifest M", "replay a trace through the routing decisions"),
  GENERATE("generate KIND --out FILE", "write a synthetic trace"),
  COMPARE("compare --user U", "compare the policy with the baselines");

  private final String synopsis;
  private final String summary;

  CommandHelp(String synopsis, String summary) {
    this.synopsis = synopsis;
    this.summary = summary;
  }

  String synopsis() {
    return synopsis;
  }

  String summary() {
    return summary;
  }
}
