package org.mustardlatch.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Daemon in a separate process, so that tests can send signals to it. */
final class DaemonProcess implements AutoCloseable {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

  private static final int MIN_PORT = 12_000;
  private static final int PORT_COUNT = 20_000;

  /** Starts at another port in each process, so that test processes do not race for ports. */
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 211 % PORT_COUNT));

  private final String host;
  private final int callerPort = freePort();
  private final int operatorPort = freePort();
  private final Process process;

  /**
   * Starts a daemon.
   *
   * @param directory directory for the settings and log files
   * @param host host id of the daemon
   * @param store URL of the object service
   * @param peerPort port on which the daemon listens for its peers
   * @param seedPort peer port of the daemon that serves as seed
   */
  DaemonProcess(Path directory, String host, String store, int peerPort, int seedPort) {
    this.host = host;
    Path settings = directory.resolve(host + ".toml");
    String text =
        """
        [node]
        host = "%s"
        region = "valle-central"
        zone = "heredia"
        caller_address = "127.0.0.1:%d"
        operator_address = "127.0.0.1:%d"
        peer_address = "127.0.0.1:%d"
        drain_delay_ms = 100
        [peers]
        seeds = ["127.0.0.1:%d"]
        [object_service]
        url = "%s"
        [tls]
        mode = "plain"
        """
            .formatted(host, callerPort, operatorPort, peerPort, seedPort, store);
    Path java = Path.of(System.getProperty("java.home"), "bin", "java");
    List<String> command =
        List.of(
            java.toString(),
            "-Xmx256m",
            "-XX:+UseSerialGC",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "--config",
            settings.toString());
    try {
      Files.writeString(settings, text);
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(directory.resolve(host + ".log").toFile())
              .start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns a port that nothing listens on. It is below the ports that the kernel gives to outgoing
   * connections, so none of these can take it before the process that it is for listens there.
   */
  static int freePort() {
    while (true) {
      int port = MIN_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORT_COUNT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // Another process listens there.
      }
    }
  }

  int callerPort() {
    return callerPort;
  }

  URI operatorUrl(String path) {
    return InProcessFleet.url(operatorPort, path);
  }

  void awaitListening() {
    Await.until(host + " listens", START_TIMEOUT, () -> respondsOk("/healthz"));
  }

  void awaitReady() {
    Await.until(host + " is ready", START_TIMEOUT, () -> respondsOk("/readyz"));
  }

  private boolean respondsOk(String path) {
    try {
      return TestHttpClient.get(operatorUrl(path)).status() == 200;
    } catch (UncheckedIOException e) {
      return false;
    }
  }

  /** Sends a signal to the process; the name has no prefix, for example {@code STOP}. */
  void signal(String name) {
    try {
      Process kill = new ProcessBuilder("kill", "-" + name, "" + process.pid()).start();
      if (kill.waitFor() != 0) {
        throw new AssertionError("kill -" + name + " failed with " + kill.exitValue());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** Waits for the process to exit and returns its exit code. */
  int awaitExit(Duration timeout) {
    try {
      if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
        throw new AssertionError(host + " did not exit within " + timeout);
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
