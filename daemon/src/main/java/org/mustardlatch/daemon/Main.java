package org.mustardlatch.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.ServiceLoader;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.error.ParseResult;
import org.mustardlatch.core.settings.Settings;
import org.mustardlatch.core.settings.SettingsParser;
import org.mustardlatch.daemon.node.EventLoop;
import org.mustardlatch.daemon.node.SettingsWatcher;
import org.mustardlatch.gateway.GatewaySettings;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;
import org.mustardlatch.gateway.node.GatewayNode;
import org.mustardlatch.gateway.node.NodeAdapter;
import org.mustardlatch.gateway.node.Signals;

/**
 * Entry point of the daemon. Exit codes: 0 after a graceful stop, 1 after a failure, 2 for invalid
 * arguments or settings.
 */
public final class Main {
  static final int EXIT_OK = 0;
  static final int EXIT_FAILURE = 1;
  static final int EXIT_USAGE = 2;

  private static final String DEVELOPMENT_VERSION = "0.1.0";

  private Main() {}

  /** Runs a node until it has stopped, then exits the process. */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  static int run(String[] args, PrintStream out, PrintStream err) {
    MainOptions options = new MainOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println("error: " + e.getMessage());
      parser.printUsage(err);
      return EXIT_USAGE;
    }
    if (options.help()) {
      out.println("usage: mustardlatchd --config FILE");
      parser.printUsage(out);
      return EXIT_OK;
    }
    if (options.version()) {
      String version = Main.class.getPackage().getImplementationVersion();
      out.println("mustardlatchd " + (version == null ? DEVELOPMENT_VERSION : version));
      return EXIT_OK;
    }
    if (options.config().isEmpty()) {
      err.println("error: option --config is required");
      parser.printUsage(err);
      return EXIT_USAGE;
    }
    for (String override : options.overrides()) {
      if (override.indexOf('=') <= 0) {
        err.println("error: --set needs KEY=VALUE, got " + override);
        return EXIT_USAGE;
      }
    }
    return runNode(Path.of(options.config()), options.overrides(), err);
  }

  /** Runs a node on a platform if an adapter recognises the settings, else a {@link Daemon}. */
  private static int runNode(Path file, List<String> overrides, PrintStream err) {
    Settings settings;
    try {
      String text = Files.readString(file, StandardCharsets.UTF_8);
      for (NodeAdapter adapter : ServiceLoader.load(NodeAdapter.class)) {
        if (adapter.recognises(text)) {
          return runOnPlatform(adapter, file, text, overrides);
        }
      }
      if (!overrides.isEmpty()) {
        err.println("error: --set can't change settings in TOML; edit " + file);
        return EXIT_USAGE;
      }
      settings = parseSettings(file, text);
    } catch (IOException | MustardlatchException e) {
      EventLog.log(LogEvent.SETTINGS_INVALID, file);
      err.println(
          e instanceof IOException ? "error: can't read " + file + ": " + e : e.getMessage());
      return EXIT_USAGE;
    }
    long startNanos = System.nanoTime();
    Daemon daemon = new Daemon(settings);
    try {
      daemon.start();
      stopOnSignal(daemon);
      daemon.awaitDrained();
      daemon.stop();
    } catch (InterruptedException | RuntimeException e) {
      EventLog.log(LogEvent.UNEXPECTED_ERROR, "start", e);
      return EXIT_FAILURE;
    }
    EventLog.log(LogEvent.DAEMON_STOPPED, (System.nanoTime() - startNanos) / 1_000_000);
    return EXIT_OK;
  }

  /** Runs a node whose settings file is in the format of a platform. */
  private static int runOnPlatform(
      NodeAdapter adapter, Path file, String text, List<String> overrides) {
    long startNanos = System.nanoTime();
    GatewayNode node =
        new GatewayNode(adapter.createComponents(file.toString(), withOverrides(text, overrides)));
    EventLoop settingsLoop = new EventLoop("settings");
    SettingsWatcher watcher =
        new SettingsWatcher(
            file,
            text,
            settingsLoop,
            changed -> applySettings(node, adapter, file, withOverrides(changed, overrides)));
    Signals.handle("TERM", node::drain);
    Signals.handle("INT", node::drain);
    Signals.handle("HUP", watcher::reload);
    try {
      node.start();
      watcher.start();
      node.awaitDrained();
      watcher.stop();
      settingsLoop.stop();
      node.stop();
    } catch (InterruptedException | RuntimeException e) {
      EventLog.log(LogEvent.UNEXPECTED_ERROR, "node", e);
      return EXIT_FAILURE;
    }
    EventLog.log(LogEvent.DAEMON_STOPPED, (System.nanoTime() - startNanos) / 1_000_000);
    return EXIT_OK;
  }

  private static String withOverrides(String text, List<String> overrides) {
    // Of two lines with the same key the last one counts.
    return text + "\n" + String.join("\n", overrides);
  }

  /** Applies changed settings to a running node, which goes on without them if they are invalid. */
  private static void applySettings(
      GatewayNode node, NodeAdapter adapter, Path file, String settings) {
    try {
      GatewaySettings next = adapter.readSettings(file.toString(), settings);
      EventLog.log(LogEvent.SETTINGS_CHANGED, next.peerSeeds());
      node.settingsChanged(next);
    } catch (MustardlatchException e) {
      EventLog.log(LogEvent.SETTINGS_INVALID, String.valueOf(e.getMessage()));
    }
  }

  private static Settings parseSettings(Path file, String text) {
    ParseResult<Settings> result = SettingsParser.parse(file.toString(), text);
    return result.orThrow(ErrorCode.SETTINGS_INVALID);
  }

  /**
   * Installs a shutdown hook that stops the node gracefully on SIGTERM and SIGINT. The hook halts
   * the process itself, because the exit code after a signal would otherwise not be 0.
   */
  private static void stopOnSignal(Daemon daemon) {
    Thread hook =
        new Thread(
            () -> {
              daemon.drain();
              try {
                daemon.awaitDrained();
              } catch (InterruptedException e) {
                Runtime.getRuntime().halt(EXIT_FAILURE);
              }
              daemon.stop();
              System.out.flush();
              Runtime.getRuntime().halt(EXIT_OK);
            },
            "signal");
    Runtime.getRuntime().addShutdownHook(hook);
  }
}
