package org.mustardlatch.wire.bench;

import org.kohsuke.args4j.Option;

/** Options of {@link BenchPeers}. */
final class BenchOptions {
  @Option(name = "--nodes", usage = "fleet sizes, separated by commas")
  String nodes = "8,32,128,390";

  @Option(name = "--threads", usage = "network threads, shared by all nodes")
  int threads = 3;

  @Option(name = "--joins-per-second", usage = "rate at which nodes start")
  int joinsPerSecond = 25;

  @Option(name = "--steady-seconds", usage = "length of the phase without changes")
  int steadySeconds = 20;

  @Option(name = "--requests-per-second", usage = "requests per node while loaded")
  int requestsPerSecond = 16;

  @Option(name = "--partners", usage = "nodes that each node asks for reservations")
  int partners = 4;

  @Option(name = "--changes", usage = "configuration changes, one every three seconds")
  int changes = 5;

  @Option(name = "--engines", usage = "engines in the manifest that is spread")
  int engines = 4_800;

  @Option(name = "--kills", usage = "nodes that are killed, one after another")
  int kills = 2;

  @Option(name = "--limit-seconds", usage = "time after which a size is given up")
  int limitSeconds = 150;

  @Option(name = "--json", usage = "file that receives the results")
  String json = "";

  @Option(name = "--help", help = true, usage = "shows the options")
  boolean help;
}
