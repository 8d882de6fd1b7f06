package org.mustardlatch.replay;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.ManifestParser;
import org.mustardlatch.core.manifest.Objective;

/**
 * The commands {@code replay TRACE --manifest M}, {@code generate KIND --user U --out FILE} and
 * {@code compare --user U --seeds N}.
 */
public final class ReplayCommand {
  private static final int USAGE = 2;
  private static final int NODES = 8;

  private final PrintStream out;
  private final PrintStream err;

  @Argument(index = 0, metaVar = "replay|generate|compare", required = true, usage = "what to do")
  private String action = "";

  @Argument(index = 1, metaVar = "TRACE|KIND", usage = "trace file, or kind to generate")
  private String subject = "";

  @Option(name = "--manifest", metaVar = "M", usage = "manifest file, or tinta or vevstua")
  private String manifest = "";

  @Option(name = "--policy", metaVar = "P", usage = "policy; for compare a list with commas")
  private String policy = "";

  @Option(name = "--objective", metaVar = "O", usage = "waste-averse or crest-averse")
  private String objective = "";

  @Option(name = "--user", metaVar = "U", usage = "tinta or vevstua")
  private String user = "tinta";

  @Option(name = "--seed", metaVar = "S", usage = "seed of all random numbers")
  private long seed = 1;

  @Option(name = "--scale", metaVar = "N", usage = "engines or load of a user, times today's")
  private int scale = 1;

  @Option(name = "--seeds", metaVar = "N", usage = "number of seeds to compare")
  private int seeds = 5;

  @Option(name = "--kinds", metaVar = "K", usage = "kinds to compare, a list with commas")
  private String kinds = "";

  @Option(name = "--json", metaVar = "FILE", usage = "also write the report as JSON")
  private @Nullable Path json;

  @Option(name = "--out", metaVar = "FILE", usage = "file to write")
  private @Nullable Path output;

  private ReplayCommand(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Runs the command and exits with its status. */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  /**
   * Runs the command.
   *
   * @param args arguments as on the command line
   * @param out receives results
   * @param err receives progress and errors
   * @return 0 on success, 1 on an error, 2 on wrong usage
   */
  public static int run(String[] args, PrintStream out, PrintStream err) {
    ReplayCommand command = new ReplayCommand(out, err);
    CmdLineParser parser = new CmdLineParser(command);
    try {
      parser.parseArgument(args);
      command.execute();
      return 0;
    } catch (CmdLineException e) {
      err.println("error: " + e.getMessage());
      parser.printUsage(err);
      return USAGE;
    } catch (MustardlatchException | IllegalArgumentException | IOException e) {
      err.println("error: " + e.getMessage());
      return 1;
    }
  }

  private void execute() throws IOException {
    switch (action) {
      case "replay" -> replay();
      case "generate" -> generate();
      case "compare" -> compare();
      default -> throw new IllegalArgumentException("unknown command \"" + action + "\"");
    }
  }

  private void replay() throws IOException {
    String text = Files.readString(Path.of(subject));
    List<TraceLine> trace = TraceParser.parse(subject, text).orThrow(ErrorCode.INVALID_ARGUMENT);
    Deployment deployment = deployment();
    String name = policy.isEmpty() ? Policies.NAMES.getLast() : policy;
    ReplayReport report = ReplayDriver.run(deployment, Policies.named(name), trace, seed);
    out.print(ReportWriter.table(name, report));
    if (json != null) {
      Files.writeString(json, ReportWriter.json(report));
    }
  }

  private Deployment deployment() throws IOException {
    for (User u : User.values()) {
      if (u.wireName().equals(manifest)) {
        return u.deployment(objective(u), scale);
      }
    }
    String text = Files.readString(Path.of(manifest));
    Manifest parsed = ManifestParser.parse(manifest, text).orThrow(ErrorCode.MANIFEST_INVALID);
    return Deployment.spread(parsed, NODES);
  }

  private void generate() throws IOException {
    List<TraceLine> trace =
        TraceGenerator.generate(User.named(user), TraceKind.named(subject), seed, scale);
    if (output == null) {
      throw new IllegalArgumentException("generate needs --out FILE");
    }
    Files.writeString(output, TraceWriter.write(trace));
  }

  private void compare() {
    User u = User.named(user);
    List<String> policies = policy.isEmpty() ? Policies.NAMES : split(policy);
    List<TraceKind> chosen = new ArrayList<>();
    split(kinds).forEach(k -> chosen.add(TraceKind.named(k)));
    List<TraceKind> all = chosen.isEmpty() ? Arrays.asList(TraceKind.values()) : chosen;
    Comparison comparison = new Comparison(u, objective(u), seeds, err::println);
    comparison.run(all, policies);
    out.print(ComparisonTable.of(comparison.results()));
    for (String p : policies) {
      if (policies.contains(Bounds.BASELINE) && !Policies.BASELINES.contains(p)) {
        out.printf("%n%s against %s:%n%n", p, Bounds.BASELINE);
        out.print(new Bounds(comparison.results(), p).table());
      }
    }
  }

  private Objective objective(User u) {
    return objective.isEmpty()
        ? u.objective()
        : Objective.valueOf(objective.toUpperCase(Locale.ROOT).replace('-', '_'));
  }

  private static List<String> split(String list) {
    return Arrays.stream(list.split(",", -1)).filter(s -> !s.isEmpty()).toList();
  }
}
