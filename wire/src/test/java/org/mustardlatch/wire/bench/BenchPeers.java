package org.mustardlatch.wire.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.google.common.base.Splitter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.mustardlatch.wire.TestCertificates;

/** Benchmarks fleets of several sizes and prints a table; see {@code bin/bench-peers --help}. */
public final class BenchPeers {
  private BenchPeers() {}

  /** Runs the program. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    BenchOptions options = new BenchOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(2);
    }
    if (options.help) {
      parser.printUsage(System.out);
      return;
    }
    run(options);
    System.exit(0);
  }

  private static void run(BenchOptions options) throws IOException, InterruptedException {
    Path directory = Files.createTempDirectory("bench-peers");
    TestCertificates authority = new TestCertificates(directory, "fleet");
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(options.threads, NioIoHandler.newFactory());
    List<Map<String, Object>> results = new ArrayList<>();
    System.out.println(BenchResult.header());
    for (String size : Splitter.on(',').trimResults().split(options.nodes)) {
      try (BenchFleet fleet = new BenchFleet(Integer.parseInt(size), options, authority, group)) {
        BenchResult result = fleet.run();
        System.out.println(result.rows());
        results.add(result.toMap());
      } catch (IllegalStateException e) {
        System.out.println(size + " nodes: " + e.getMessage());
      }
    }
    if (!options.json.isEmpty()) {
      new ObjectMapper()
          .enable(SerializationFeature.INDENT_OUTPUT)
          .writeValue(Path.of(options.json).toFile(), results);
    }
  }
}
