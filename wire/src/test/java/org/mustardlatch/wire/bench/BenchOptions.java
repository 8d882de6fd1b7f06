package org.mustardlatch.wire.bench;

import org.kohsuke.args4j.Option;

/** Options of {@link BenchPeers}. */
final class BenchOptions {
  @Option(name = "--nodes", usage = "fleet sizes, separated by commas")
  String nodes = "8,32,128,390";

  @Option(name = "--threads", usage = "event loop threads, shared by all nodes")
  int threads = 3;

  @Option(name = "--joins-per-second", usage = "rate at which nodes start")
  int joinsPerSecond = 25;

  @Option(
      name = "--steady-seconds",
      usage = "duration of the steady phase and of the request phase")
  int steadySeconds = 20;

  @Option(
      name = "--requests-per-second",
      usage = "reservation requests per node and second under load")
  int requestsPerSecond = 16;

  @Option(name = "--partners", usage = "nodes to which each node sends reservation requests")
  int partners = 4;

  @Option(name = "--changes", usage = "configuration changes, one every three seconds")
  int changes = 5;

  @Option(name = "--engines", usage = "engines in the published manifest")
  int engines = 4_800;

  @Option(name = "--kills", usage = "nodes that are killed, one after another")
  int kills = 2;

  @Option(name = "--limit-seconds", usage = "time limit of the benchmark of one fleet size")
  int limitSeconds = 150;

  @Option(name = "--json", usage = "file to write the results to as JSON")
  String json = "";

  @Option(name = "--help", help = true, usage = "prints the options")
  boolean help;
}
