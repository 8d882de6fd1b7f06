package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.lang.ProcessBuilder.Redirect;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What every case needs: a record of what was sent, answered and run, a temporary folder, the
 * project's nodes as separate processes, and the end of all that it started. Runs in the root of
 * the repository.
 */
final class Rig implements AutoCloseable {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** Longest time that a node may take to become ready. */
  private static final long READY_MILLIS = 30_000;

  private static final String ZONE = "heredia";

  /** Whether the case has its disruption; false with TROUBLE=0. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private final long startNanos = System.nanoTime();
  private final PrintWriter record;
  private final Path temporary = Files.createTempDirectory("review");
  private final List<Node> nodes = new ArrayList<>();

  Rig(Path caseFolder) throws IOException {
    record =
        new PrintWriter(
            Files.newBufferedWriter(caseFolder.resolve("record.txt"), StandardCharsets.UTF_8),
            true);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    note("disruption: " + (trouble ? "yes" : "no (TROUBLE=0)"));
  }

  /** Writes a line to the record, with the time since the start. */
  void note(String line) {
    synchronized (record) {
      record.printf("%8.3f s  %s%n", seconds(), line);
    }
  }

  /** Returns the time since the start of the case. */
  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  /** Writes what was found to the record and to the standard output. */
  void conclude(String line) {
    note(line);
    System.out.println(line);
  }

  static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  static void await(String what, long millis, BooleanSupplier condition) {
    long end = System.nanoTime() + millis * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("not within " + millis + " ms: " + what);
      }
      sleep(20);
    }
  }

  static int freePort(String ip) throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return s.getLocalPort();
    }
  }

  /** Starts nodes that know each other, and waits until the platform would use them. */
  List<Node> startNodes(int count, String storeAddress) throws IOException {
    List<Node> started = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      started.add(new Node("frontend-" + ZONE + "-" + i, storeAddress));
    }
    String seeds =
        started.stream().limit(3).map(n -> n.ip + ":" + n.peerPort).collect(Collectors.joining(","));
    for (Node n : started) {
      n.start(seeds);
    }
    for (Node n : started) {
      await(n.name + " is ready", READY_MILLIS, n::ready);
      note(n.name + " is ready");
    }
    return started;
  }

  /** A process of the system, started as the deploy file says. */
  final class Node {
    final String name;
    final String ip;
    final int callerPort;
    final int readyPort;
    final int peerPort;
    private final String storeAddress;
    private final Path log;
    private Process process;

    Node(String name, String storeAddress) throws IOException {
      long pid = ProcessHandle.current().pid();
      this.name = name;
      this.storeAddress = storeAddress;
      ip = "127.%d.%d.%d".formatted(2 + pid / 250 % 250, 1 + pid % 250, 1 + nodes.size());
      callerPort = freePort(ip);
      readyPort = freePort(ip);
      peerPort = freePort(ip);
      log = temporary.resolve(name + ".log");
      nodes.add(this);
    }

    private void start(String seeds) throws IOException {
      Path settings = temporary.resolve(name + ".conf");
      Files.writeString(
          settings,
          """
          node_name=%s
          role=router
          machine_class=frontend
          serves=frontend,control_plane
          ip=%s
          zone=heredia
          region=valle-central
          zones.heredia=valle-central
          zones.cartago=valle-central
          zones.liberia=guanacaste
          listen.frontend_address=%s:%d
          listen.ready=%s:%d
          listen.control_plane=%s:%d
          seeds=%s
          bootstrap=true
          limits.memory_mb=280
          limits.file_descriptors=4100
          discovery=platform
          bounds.stability_window_ms=4000
          bounds.drain_ms=2500
          bounds.grace_s=8
          bounds.loss_slack_ms=200
          bounds.config_apply_ms=2500
          bounds.retry_budget_ratio=0.2
          bounds.budget_window_s=10
          bounds.retry_budget_extra=56
          platform.address=%s
          platform.form=objects
          platform.writes_per_s=400
          platform.reads_per_s=2000
          platform.history_s=20
          platform.value_bytes=1048576
          """
              .formatted(
                  name,
                  ip,
                  ip,
                  callerPort,
                  ip,
                  readyPort,
                  ip,
                  peerPort,
                  seeds,
                  storeAddress));
      process =
          new ProcessBuilder(
                  "target/rt/bin/java",
                  "@target/app/java.args",
                  "org.mustardlatch.daemon.Main",
                  "--config",
                  settings.toString())
              .redirectErrorStream(true)
              .redirectOutput(Redirect.to(log.toFile()))
              .start();
      note(name + " starts, process " + process.pid());
    }

    boolean ready() {
      try (Socket s = new Socket()) {
        s.connect(new InetSocketAddress(ip, readyPort), 1_000);
        s.setSoTimeout(1_000);
        s.getOutputStream()
            .write(
                "GET /mustardlatch/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
        byte[] answer = s.getInputStream().readAllBytes();
        return new String(answer, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200");
      } catch (IOException e) {
        return false;
      }
    }

    /** Sends SIGTERM, as the platform does to stop a process. */
    void terminate() {
      note("SIGTERM to " + name);
      process.destroy();
    }

    /** Sends SIGKILL. */
    void kill() {
      note("SIGKILL to " + name);
      process.destroyForcibly();
    }

    boolean alive() {
      return process.isAlive();
    }

    /** Returns the exit code, after the process has ended. */
    int exitCode() {
      return process.exitValue();
    }

    /** Notes when the process ends. */
    void watchEnd() {
      process.onExit().thenAccept(p -> note(name + " has ended, exit code " + p.exitValue()));
    }

    /** Returns the log lines that contain a text. */
    List<String> logLines(String text) throws IOException {
      try (Stream<String> lines = Files.lines(log, StandardCharsets.UTF_8)) {
        return lines.filter(l -> l.contains(text)).toList();
      }
    }
  }

  /** Runs a case and exits with its result. */
  interface Case {
    int run(Rig rig) throws Exception;
  }

  static void main(Path caseFolder, Case c) {
    int result = COULD_NOT_RUN;
    try (Rig rig = new Rig(caseFolder)) {
      try {
        result = c.run(rig);
      } catch (Exception e) {
        rig.conclude("the case could not run: " + e);
        e.printStackTrace();
      }
    } catch (IOException e) {
      System.out.println("the case could not run: " + e);
    }
    Runtime.getRuntime().halt(result);
  }

  /** Returns the headers of a map as lines. */
  static Map<String, String> headers(String... namesAndValues) {
    Map<String, String> result = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (int i = 0; i < namesAndValues.length; i += 2) {
      result.put(namesAndValues[i], namesAndValues[i + 1]);
    }
    return result;
  }

  @Override
  public synchronized void close() {
    for (Node n : nodes) {
      if (n.process != null && n.process.isAlive()) {
        n.process.destroyForcibly();
        try {
          n.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    threads.shutdownNow();
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs: " + temporary);
      return;
    }
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    } catch (IOException e) {
      // The folder has been removed before.
    }
  }
}
