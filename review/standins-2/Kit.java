import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the cases of the second review share: a store that speaks the platform's protocol, nodes
 * started with the command of deploy/system.toml, HTTP heads on plain sockets, and the record.
 */
final class Kit {
  static final long START = System.nanoTime();
  private static final StringBuilder RECORD = new StringBuilder();
  private static final List<Node> NODES = new ArrayList<>();

  private Kit() {}

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static long now() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  /** Adds a line with the time in ms to the record. */
  static synchronized void record(String text) {
    RECORD.append(String.format(Locale.ROOT, "%7d %s%n", now(), text));
  }

  /** Runs a case; writes record.txt and exits with 0 (held), 1 (broken) or 2 (could not run). */
  static void run(Case c) {
    Thread.ofPlatform().daemon().start(() -> {
      sleep(115_000);
      record("the case took too long");
      end(2);
    });
    Runtime.getRuntime().addShutdownHook(new Thread(() -> NODES.forEach(Node::kill)));
    record("TROUBLE=" + (trouble() ? 1 : 0));
    int code = 2;
    try {
      code = c.run() ? 0 : 1;
    } catch (Throwable e) {
      record("could not run: " + e);
      for (StackTraceElement s : e.getStackTrace()) {
        record("  " + s);
      }
    }
    end(code);
  }

  interface Case {
    /** Returns whether the rule held. */
    boolean run() throws Exception;
  }

  private static synchronized void end(int code) {
    record(code == 0 ? "HELD" : code == 1 ? "BROKEN" : "COULD NOT RUN");
    NODES.forEach(Node::kill);
    try {
      Files.writeString(Path.of(System.getProperty("record")), RECORD.toString());
    } catch (IOException e) {
      System.err.println(e);
      code = 2;
    }
    System.out.print(RECORD);
    System.out.flush();
    Runtime.getRuntime().halt(code);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static void thread(IoTask task) {
    Thread.ofVirtual().start(() -> {
      try {
        task.run();
      } catch (Exception e) {
        // The peer has closed or reset the channel.
      }
    });
  }

  interface IoTask {
    void run() throws Exception;
  }

  /** A loopback address of its own for each node, as the metrics port is the same on all. */
  static String nodeIp(int number) {
    long pid = ProcessHandle.current().pid();
    return "127." + (1 + pid / 250 % 250) + "." + (1 + pid % 250) + "." + number;
  }

  static int freePort(String ip) throws IOException {
    for (int i = 0; i < 500; i++) {
      int port = 10_000 + (int) (Math.random() * 20_000);
      try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
        return s.getLocalPort();
      } catch (IOException e) {
        // Another process listens there.
      }
    }
    throw new IOException("no free port");
  }

  // ---------------------------------------------------------------- HTTP on plain sockets

  /** A request or response head. */
  record Head(String first, Map<String, String> headers) {
    String get(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String path() {
      return first.split(" ")[1];
    }

    long length() {
      String l = get("content-length");
      return l == null ? -1 : Long.parseLong(l);
    }
  }

  /** Reads a head; null at the end of the channel. */
  static Head readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null || first.isEmpty()) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String l = readLine(in); l != null && !l.isEmpty(); l = readLine(in)) {
      int colon = l.indexOf(':');
      headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).strip());
    }
    return new Head(first, headers);
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        String s = line.toString(StandardCharsets.ISO_8859_1);
        return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
      }
      line.write(b);
    }
    return null;
  }

  /** Reads the body that the head announces, by its length or in chunks. */
  static byte[] readBody(Head head, InputStream in) throws IOException {
    if ("chunked".equalsIgnoreCase(head.get("transfer-encoding"))) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (true) {
        String size = readLine(in);
        if (size == null) {
          throw new IOException("the channel ended inside a chunked body");
        }
        int n = Integer.parseInt(size.split(";")[0].strip(), 16);
        byte[] part = in.readNBytes(n);
        if (part.length < n) {
          throw new IOException("the channel ended inside a chunk");
        }
        all.write(part);
        readLine(in);
        if (n == 0) {
          return all.toByteArray();
        }
      }
    }
    return in.readNBytes((int) Math.max(0, head.length()));
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.replace("\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  static int get(String ip, int port, String path) {
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress(ip, port), 1_000);
      s.setSoTimeout(1_000);
      write(s.getOutputStream(), "GET " + path + " HTTP/1.1\nHost: x\nConnection: close\n\n");
      Head h = readHead(new BufferedInputStream(s.getInputStream()));
      return h == null ? 0 : h.status();
    } catch (IOException e) {
      return 0;
    }
  }

  // ---------------------------------------------------------------- the platform's store

  /** The reads of the platform's store: lists and watches of objects. */
  static final class Store {
    private record Event(String kind, String json, long revision) {}

    private final Map<String, TreeMap<String, String>> kinds = new LinkedHashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;
    final String address;

    /** Objects in a page of a list; the bench's site files have 50. */
    volatile int page = 50;

    /** Runs after a page of servers that is not the last one was made. */
    volatile Runnable pageMade = () -> {};

    /** Whether the store answers; if not, calls get nothing, as when it is down and silent. */
    volatile boolean silent;

    /** Time that an answer takes, ms. */
    volatile long answerMillis = 4;

    Store() throws IOException {
      ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
      address = "127.0.0.1:" + server.getLocalPort();
      thread(() -> {
        while (true) {
          Socket s = server.accept();
          thread(() -> serve(s));
        }
      });
    }

    synchronized void put(String kind, String name, String specification) {
      revision++;
      String object = "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
          + ",\"created\":1,\"finalizers\":[],\"deletion_pending\":false},\"specification\":"
          + specification + ",\"status\":null}";
      kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, object);
      history.add(new Event(kind, "{\"removed\":false,\"object\":" + object + "}", revision));
      notifyAll();
    }

    synchronized void remove(String kind, String name) {
      String object = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
      if (object != null) {
        revision++;
        history.add(new Event(kind, "{\"removed\":true,\"object\":" + object + "}", revision));
        notifyAll();
      }
    }

    private void serve(Socket s) throws Exception {
      try (s) {
        InputStream in = new BufferedInputStream(s.getInputStream());
        for (Head h = readHead(in); h != null; h = readHead(in)) {
          readBody(h, in);
          sleep(answerMillis);
          while (silent) {
            sleep(20);
          }
          String body = answer(h.path());
          if (h.path().contains("/servers") && body != null && body.contains("\"has_more\":true")) {
            pageMade.run();
          }
          String status = body == null ? "404 Not Found" : "200 OK";
          byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
          write(s.getOutputStream(), "HTTP/1.1 " + status
              + "\nContent-Type: application/json\nStore-Era: 1\nContent-Length: "
              + bytes.length + "\n\n");
          s.getOutputStream().write(bytes);
          s.getOutputStream().flush();
        }
      }
    }

    private synchronized String answer(String path) throws InterruptedException {
      String prefix = "/mustardlatch/objects/";
      if (!path.startsWith(prefix)) {
        return null;
      }
      int q = path.indexOf('?');
      String kind = path.substring(prefix.length(), q < 0 ? path.length() : q);
      Map<String, String> query = new LinkedHashMap<>();
      if (q >= 0) {
        for (String pair : path.substring(q + 1).split("&")) {
          query.put(pair.split("=")[0], pair.split("=", 2)[1]);
        }
      }
      if (!query.containsKey("watch")) {
        TreeMap<String, String> all = kinds.getOrDefault(kind, new TreeMap<>());
        String after = query.get("after");
        List<String> rest =
            List.copyOf(after == null ? all.values() : all.tailMap(after, false).values());
        return "{\"items\":[" + String.join(",", rest.subList(0, Math.min(page, rest.size())))
            + "],\"has_more\":" + (rest.size() > page) + ",\"at_revision\":" + revision + "}";
      }
      long since = Long.parseLong(query.get("watch"));
      long end = now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
      List<String> events = events(kind, since);
      while (events.isEmpty() && now() < end) {
        wait(Math.max(1, end - now()));
        events = events(kind, since);
      }
      return "{\"events\":[" + String.join(",", events) + "],\"at_revision\":" + revision + "}";
    }

    private List<String> events(String kind, long since) {
      return history.stream()
          .filter(e -> e.kind().equals(kind) && e.revision() > since).map(Event::json).toList();
    }
  }

  static String route(
      String name, String prefix, String kind, int timeoutMs, int targetMs, String service,
      int attempts) {
    return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"path_prefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":"
        + targetMs + ",\"priority\":2,\"service\":\"" + service + "\",\"max_attempts\":" + attempts
        + "}";
  }

  static String appService(String name) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":110,"
        + "\"protocol\":\"h1\",\"tls\":false}";
  }

  static String config(long version, List<String> routes, List<String> services) {
    return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
        + "],\"services\":[" + String.join(",", services)
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  static String server(String service, String address, String zone, int slots) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
        + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\","
        + "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1700000000000}";
  }

  // ---------------------------------------------------------------- nodes

  /** A node of the system: one process with the command of deploy/system.toml. */
  static final class Node {
    final String name;
    final String ip;
    final int frontPort;
    final int readyPort;
    final int controlPort;
    private final String storeAddress;
    private final Path directory;
    private String seeds = "";
    private volatile Process process;

    Node(Path directory, String name, int number, String storeAddress) throws IOException {
      this.directory = directory;
      this.name = name;
      this.ip = nodeIp(number);
      this.storeAddress = storeAddress;
      frontPort = freePort(ip);
      readyPort = freePort(ip);
      controlPort = freePort(ip);
      synchronized (NODES) {
        NODES.add(this);
      }
    }

    String control() {
      return ip + ":" + controlPort;
    }

    /** Writes the settings file, as the platform does. */
    void writeSettings(List<String> seedAddresses) throws IOException {
      seeds = String.join(",", seedAddresses);
      String[][] entries = {
        {"node_name", name}, {"role", "router"}, {"machine_class", "frontend"},
        {"serves", "frontend,control_plane"}, {"ip", ip}, {"zone", "oslo-a"}, {"region", "oslo"},
        {"zones.oslo-a", "oslo"}, {"zones.oslo-b", "oslo"}, {"zones.bergen-a", "bergen"},
        {"listen.frontend_address", ip + ":" + frontPort},
        {"listen.ready", ip + ":" + readyPort}, {"listen.control_plane", control()},
        {"internal_port_range", "7660,7675"}, {"seeds", seeds}, {"bootstrap", "true"},
        {"failure_counted", "false"}, {"limits.cpu_share", "0.75"}, {"limits.cores", "1"},
        {"limits.memory_mb", "430"}, {"limits.file_descriptors", "4100"},
        {"limits.link_mbps", "1000.0"}, {"limits.disk_mb", "0"}, {"discovery", "platform"},
        {"entry", "virtual_ip"}, {"heartbeat_ms", "1200"},
        {"contracts", "base,drain,config,cost,retry,recover,split,stream,engine,platform"},
        {"fault_tolerance.machines", "1"}, {"fault_tolerance.zones", "0"},
        {"fault_tolerance.regions", "0"}, {"bounds.seed_lag_s", "3"}, {"bounds.reuse_after_s", "2"},
        {"bounds.stability_window_ms", "4000"}, {"bounds.ack_ms", "5000"},
        {"bounds.catch_up_s", "4"}, {"bounds.drain_ms", "2500"}, {"bounds.grace_s", "8"},
        {"bounds.loss_slack_ms", "200"}, {"bounds.config_apply_ms", "2500"},
        {"bounds.downgrade_slack_ms", "250"}, {"bounds.max_extension_ms", "6000"},
        {"bounds.retry_budget_ratio", "0.2"}, {"bounds.budget_window_s", "10"},
        {"bounds.retry_budget_extra", "56"}, {"bounds.recovery_s", "12"},
        {"bounds.transit_ms", "250"}, {"bounds.retry_after_s", "9"},
        {"bounds.fencing_enforced", "true"}, {"bounds.lease_ms", "3000"},
        {"bounds.thaw_ms", "300"}, {"platform.address", storeAddress},
        {"platform.form", "objects"}, {"platform.writes_per_s", "400"},
        {"platform.reads_per_s", "2000"}, {"platform.history_s", "20"},
        {"platform.value_bytes", "1048576"}, {"platform.ttl_min_ms", "1000"}
      };
      StringBuilder text = new StringBuilder();
      for (String[] e : entries) {
        text.append(e[0]).append('=').append(e[1]).append('\n');
      }
      Files.writeString(directory.resolve(name + ".conf"), text.toString());
    }

    void start() throws IOException {
      Path conf = directory.resolve(name + ".conf");
      ProcessBuilder b = new ProcessBuilder("target/rt/bin/java", "@target/app/java.args",
          "org.mustardlatch.daemon.Main", "--config", conf.toString());
      b.environment().put("MUSTARDLATCH_CONFIG", conf.toString());
      b.environment().remove("TROUBLE");
      b.redirectErrorStream(true);
      b.redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
      process = b.start();
      record(name + " started, pid " + process.pid() + ", seeds " + seeds);
    }

    boolean ready() {
      return get(ip, readyPort, "/mustardlatch/readiness") == 200;
    }

    void awaitReady() {
      for (int i = 0; i < 400; i++) {
        if (ready()) {
          record(name + " is ready");
          return;
        }
        sleep(50);
      }
      throw new IllegalStateException(name + " is not ready");
    }

    boolean alive() {
      return process != null && process.isAlive();
    }

    long pid() {
      return process.pid();
    }

    int exitCode() {
      return process.exitValue();
    }

    void signal(String signal) throws Exception {
      record("SIG" + signal + " to " + name);
      int code = new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid())
          .inheritIO().start().waitFor();
      if (code != 0) {
        throw new IOException("kill -" + signal + " failed");
      }
    }

    void kill() {
      Process p = process;
      if (p != null) {
        p.destroyForcibly();
      }
    }

    Socket connect() throws IOException {
      return connect(0);
    }

    Socket connect(int receiveBuffer) throws IOException {
      Socket s = new Socket();
      if (receiveBuffer > 0) {
        s.setReceiveBufferSize(receiveBuffer);
      }
      s.connect(new InetSocketAddress(ip, frontPort), 2_000);
      s.setSoTimeout(20_000);
      s.setTcpNoDelay(true);
      return s;
    }

    /** Returns the lines of this node's log that contain a text. */
    List<String> log(String part) throws IOException {
      return Files.readAllLines(directory.resolve(name + ".log")).stream()
          .filter(l -> l.contains(part)).toList();
    }
  }

  static Path workDirectory() throws IOException {
    return Path.of(System.getProperty("work"));
  }
}
