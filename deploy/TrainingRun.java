import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Runs a node through its start, a second node that joins it and some requests, so that {@code
 * deploy/build.sh} can archive the classes that these load. Stands in for the store and for an
 * application server. Exits with 1 if the node does not become ready or does not stop gracefully.
 *
 * <p>Arguments: the directory for settings and logs, the option that makes the node write its
 * archive, and the Java command line without the main class.
 */
final class TrainingRun {
  private static final int TIMEOUT_SECONDS = 60;
  private static final int REQUESTS = 20;
  private static final String STORE_PATH = "/mustardlatch/objects/";

  private static final String CONFIGURATION =
      """
      {"metadata":{"name":"main","revision":2},"specification":{"version":1,
       "services":[{"name":"app"}],"routes":[{"name":"r","host":"h","path_prefix":"/app/",
       "kind":"idempotent","timeout_ms":5000,"target_latency_ms":2000,"priority":1,
       "service":"app","max_attempts":2,"resumable":false}]}}\
      """;

  private static final String SERVER =
      """
      {"metadata":{"name":"app-1","revision":3},"specification":{"service":"app",
       "address":"%s","zone":"a","version":"v1","slots":8,"state":"ready",
       "cold_remaining_ms":0,"born":1,"sequence":0}}\
      """;

  private final Path directory;
  private final HttpServer server;
  private final int callerPort = freePort();
  private final int readyPort = freePort();
  private final int peerPort = freePort();

  private TrainingRun(Path directory) throws IOException {
    this.directory = directory;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext(STORE_PATH, this::answerStoreCall);
    server.createContext("/app/", TrainingRun::answerRequest);
  }

  public static void main(String[] args) throws IOException, InterruptedException {
    List<String> java = Arrays.asList(args).subList(2, args.length);
    TrainingRun run = new TrainingRun(Path.of(args[0]));
    run.server.start();
    System.exit(run.train(args[1], java) ? 0 : 1);
  }

  private boolean train(String archiveOption, List<String> java)
      throws IOException, InterruptedException {
    Process node =
        start(java, archiveOption, "training", "127.0.0.1", callerPort, readyPort, peerPort);
    Process peer = null;
    try {
      awaitStatus(readyPort, get("/mustardlatch/readiness"));
      peer = start(java, "-Xshare:auto", "peer", "127.0.0.2", 0, 0, 0);
      for (int i = 0; i < REQUESTS; i++) {
        awaitStatus(callerPort, get("/app/" + i));
        awaitStatus(callerPort, post("/app/" + i));
        awaitStatus(readyPort, get("/mustardlatch/readiness"));
      }
      node.destroy();
      return node.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS) && node.exitValue() == 0;
    } finally {
      node.destroyForcibly();
      if (peer != null) {
        peer.destroyForcibly();
      }
    }
  }

  private Process start(
      List<String> java, String option, String name, String ip, int caller, int ready, int peer)
      throws IOException {
    Path settings = directory.resolve(name + ".conf");
    Files.writeString(
        settings,
        """
        node_name=%s
        zone=a
        zones.a=a
        ip=%s
        listen.frontend_address=%s:%d
        listen.ready=%s:%d
        listen.control_plane=%s:%d
        seeds=127.0.0.1:%d
        platform.address=%s
        """
            .formatted(name, ip, ip, caller, ip, ready, ip, peer, peerPort, address()));
    List<String> command = new ArrayList<>(java);
    command.addAll(
        List.of(option, "org.mustardlatch.daemon.Main", "--config", settings.toString()));
    File log = directory.resolve(name + ".log").toFile();
    return new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log).start();
  }

  private String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  private static String get(String path) {
    return "GET " + path + head("");
  }

  private static String post(String path) {
    return "POST " + path + head("Content-Length: 4\r\n") + "body";
  }

  private static String head(String more) {
    return " HTTP/1.1\r\nHost: h\r\nX-Request-Id: q%d\r\nX-Deadline-Ms: 5000\r\n%s"
            .formatted(System.nanoTime(), more)
        + "Connection: close\r\n\r\n";
  }

  /** Sends a request until it is answered with 200. */
  private static void awaitStatus(int port, String request)
      throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!send(port, request).startsWith("HTTP/1.1 200")) {
      if (System.nanoTime() > end) {
        throw new IOException("no 200 within " + TIMEOUT_SECONDS + " s: " + request);
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  private static String send(int port, String request) {
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
      s.setSoTimeout(10_000);
      s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    } catch (IOException e) {
      return "";
    }
  }

  private void answerStoreCall(HttpExchange exchange) throws IOException {
    String query = String.valueOf(exchange.getRequestURI().getQuery());
    boolean configuration = exchange.getRequestURI().getPath().endsWith("config");
    exchange.getResponseHeaders().set("Store-Era", "1");
    if (query.contains("watch=")) {
      try {
        TimeUnit.MILLISECONDS.sleep(500);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      respond(exchange, "{\"events\":[],\"at_revision\":3}");
    } else {
      String item = configuration ? CONFIGURATION : SERVER.formatted(address());
      respond(exchange, "{\"items\":[" + item + "],\"has_more\":false,\"at_revision\":3}");
    }
  }

  private static void answerRequest(HttpExchange exchange) throws IOException {
    String id = String.valueOf(exchange.getRequestHeaders().getFirst("X-Request-Id"));
    exchange.getResponseHeaders().set("X-Request-Id", id);
    exchange.getResponseHeaders().set("X-Server-Stamp", "stamp");
    respond(exchange, "done");
  }

  private static void respond(HttpExchange exchange, String text) throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      byte[] body = text.getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(200, body.length);
      exchange.getResponseBody().write(body);
    }
  }
}
