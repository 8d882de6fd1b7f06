package org.mustardlatch.cli;

import java.io.PrintStream;
import java.util.Set;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.replay.ReplayCommand;

/** Entry point of the command-line tool. */
public final class Main {
  private static final ParserProperties PARSER_PROPERTIES =
      ParserProperties.defaults().withUsageWidth(100);

  /** Commands that the replay module parses and runs itself. */
  private static final Set<String> REPLAY_COMMANDS = Set.of("replay", "generate", "compare");

  private Main() {}

  /** Runs one command and exits with its exit code, one of {@link ExitCode}. */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  /**
   * Runs one command.
   *
   * @param args the command line
   * @param out receives results
   * @param err receives errors, each with a code, a location and a remedy
   * @return the exit code, one of {@link ExitCode}
   */
  static int run(String[] args, PrintStream out, PrintStream err) {
    if (args.length > 0 && REPLAY_COMMANDS.contains(args[0])) {
      return ReplayCommand.run(args, out, err);
    }
    MainOptions options = new MainOptions();
    CmdLineParser parser = new CmdLineParser(options, PARSER_PROPERTIES);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println("error usage at command line: " + e.getMessage());
      err.println("remedy: run \"mustardlatch --help\"");
      return ExitCode.USAGE;
    }
    if (options.help) {
      printHelp(parser, out);
      return ExitCode.OK;
    }
    if (options.version) {
      out.println("mustardlatch " + Version.current());
      return ExitCode.OK;
    }
    if (options.command == null) {
      printHelp(parser, err);
      return ExitCode.USAGE;
    }
    return runCommand(options.command, new Console(out, err));
  }

  private static int runCommand(Command command, Console console) {
    try {
      return command.run(console);
    } catch (MustardlatchException e) {
      console.error(
          e.code().wireName(), "command", String.valueOf(e.getMessage()), "see the message");
      return ExitCode.FAILED;
    } catch (CommandException e) {
      console.error(e.code(), e.location(), String.valueOf(e.getMessage()), e.remedy());
      return e.exitCode();
    }
  }

  private static void printHelp(CmdLineParser parser, PrintStream stream) {
    stream.println("usage: mustardlatch [--help] [--version] COMMAND [OPTIONS]");
    stream.println();
    for (CommandHelp commandHelp : CommandHelp.values()) {
      stream.printf("  %-44s %s%n", commandHelp.synopsis(), commandHelp.summary());
    }
    stream.println();
    stream.println("exit codes: 0 success, 1 refused or failed, 2 usage error, 3 outcome unknown");
    stream.println();
    parser.printUsage(stream);
  }
}
