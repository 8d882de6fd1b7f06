import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LIMIT: all processes are killed; the three machines that the settings name as seeds are gone for
 * good and others come at other addresses. The seeds in the settings lag by three seconds, then the
 * files have the new ones and the processes get SIGHUP. The machines must still keep to a limit
 * that a server states for all of them together.
 */
final class StaleSeeds {
  private static final int MACHINES = 8;
  private static final int SEEDS = 3;
  private static final double LIMIT = 24;
  private static final int WINDOW_MS = 4_000;
  private static final int STABILITY_MS = 4_000;
  private static final int REQUEST_EVERY_MS = 8;

  /** A request that reached the limited server. */
  private record Arrival(long millis, String machine) {}

  private static final ConcurrentLinkedQueue<Arrival> ARRIVALS = new ConcurrentLinkedQueue<>();

  /** The time at which a machine first passed on an answer with the limit, by machine. */
  private static final Map<String, Long> PASSED_ON = new ConcurrentHashMap<>();

  private static volatile boolean limited;
  private static volatile long limitedMillis;

  private StaleSeeds() {}

  public static void main(String[] args) {
    Kit.run(StaleSeeds::run);
  }

  private static boolean run() throws Exception {
    Path work = Kit.workDirectory();
    Kit.Store store = new Kit.Store();
    store.put("config", "main", Kit.config(7,
        List.of(Kit.route("r1", "/pule252/", "non_idempotent", 1_000, 300, "vevstua-app", 1)),
        List.of(Kit.appService("vevstua-app"))));
    for (int i = 0; i < 3; i++) {
      server(store, "i-7f3a91c" + i, i == 0);
    }
    List<Kit.Node> nodes = new ArrayList<>();
    for (int i = 1; i <= MACHINES; i++) {
      nodes.add(new Kit.Node(work, "frontend-oslo-a-" + i, i, store.address));
    }
    List<String> seeds = controls(nodes);
    for (Kit.Node n : nodes) {
      n.writeSettings(seeds);
      n.start();
    }
    nodes.forEach(Kit.Node::awaitReady);
    Kit.sleep(4_000);
    if (Kit.trouble()) {
      nodes = replaceSeeds(work, store, nodes, seeds);
    }
    // More than twice the stability window after the last signal, and the period of rejoining.
    Kit.sleep(33_000);
    return judge(nodes);
  }

  private static List<String> controls(List<Kit.Node> nodes) {
    return nodes.subList(0, SEEDS).stream().map(Kit.Node::control).toList();
  }

  private static List<Kit.Node> replaceSeeds(
      Path work, Kit.Store store, List<Kit.Node> nodes, List<String> oldSeeds) throws Exception {
    for (Kit.Node n : nodes) {
      n.signal("KILL");
    }
    List<Kit.Node> next = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      if (i < SEEDS) {
        int number = MACHINES + 1 + i;
        next.add(new Kit.Node(work, "frontend-oslo-a-" + number, number, store.address));
      } else {
        next.add(nodes.get(i));
      }
    }
    Kit.sleep(1_000);
    for (Kit.Node n : next) {
      n.writeSettings(oldSeeds);
      n.start();
    }
    Kit.sleep(2_000);
    List<String> newSeeds = controls(next);
    Kit.record("3 s after the machines have gone, the settings have the new seeds " + newSeeds);
    for (Kit.Node n : next) {
      n.writeSettings(newSeeds);
    }
    next.forEach(Kit.Node::awaitReady);
    for (Kit.Node n : next) {
      n.signal("HUP");
    }
    return next;
  }

  /** Sends requests to all machines in turn and judges the limited server's arrivals. */
  private static boolean judge(List<Kit.Node> nodes) throws Exception {
    limited = true;
    limitedMillis = Kit.now();
    Kit.record("server i-7f3a91c0 states Server-Limit " + LIMIT + " from now on");
    AtomicInteger served = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    long end = Kit.now() + STABILITY_MS + 3 * WINDOW_MS;
    for (int i = 0; Kit.now() < end; i++) {
      int n = i;
      Kit.thread(() -> request(nodes.get(n % nodes.size()), n, served, refused));
      Kit.sleep(REQUEST_EVERY_MS);
    }
    Kit.sleep(1_000);
    Kit.record("consumers: " + served + " answers 200, " + refused + " others");
    List<Arrival> counted = new ArrayList<>();
    for (Arrival a : ARRIVALS) {
      Long passedOn = PASSED_ON.get(a.machine());
      if (a.millis() >= limitedMillis + STABILITY_MS
          && passedOn != null && passedOn + 500 <= a.millis()) {
        counted.add(a);
      }
    }
    int most = 0;
    for (int i = 0; i < counted.size(); i++) {
      int count = 0;
      for (int k = i; k < counted.size()
          && counted.get(k).millis() < counted.get(i).millis() + WINDOW_MS; k++) {
        count++;
      }
      most = Math.max(most, count);
    }
    double allowed = 1.5 * LIMIT * WINDOW_MS / 1_000 + 5;
    Kit.record(String.format(Locale.ROOT, "the limited server got %d requests, at most %d in %d ms"
        + " from %d ms after it first named its limit; allowed are %.0f", ARRIVALS.size(), most,
        WINDOW_MS, STABILITY_MS, allowed));
    for (Kit.Node n : nodes) {
      List<String> members = n.log("members");
      Kit.record(n.name + " alive " + n.alive() + "; last line on members: "
          + (members.isEmpty() ? "none" : members.getLast()));
    }
    return most <= allowed;
  }

  private static void request(
      Kit.Node node, int n, AtomicInteger served, AtomicInteger refused) throws Exception {
    try (Socket s = node.connect()) {
      Kit.write(s.getOutputStream(), "POST /pule252/" + n + " HTTP/1.1\nHost: ficu95.example\n"
          + "X-Request-Id: " + Integer.toHexString(0x9c000000 + n) + "." + node.name
          + "\nX-Deadline-Ms: 2000\nConnection: close\nContent-Length: 5\n\norder");
      InputStream in = new BufferedInputStream(s.getInputStream());
      Kit.Head h = Kit.readHead(in);
      Kit.readBody(h, in);
      (h.status() == 200 ? served : refused).incrementAndGet();
      if (h.get("Server-Limit") != null) {
        PASSED_ON.putIfAbsent(node.name, Kit.now());
      }
    }
  }

  /** A server that answers in 20 ms; the first one is faster and names its limit. */
  private static void server(Kit.Store store, String id, boolean first) throws Exception {
    ServerSocket listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    Kit.thread(() -> {
      while (true) {
        Socket s = listener.accept();
        Kit.thread(() -> serve(s, id, first));
      }
    });
    store.put("servers", id,
        Kit.server("vevstua-app", "127.0.0.1:" + listener.getLocalPort(), "oslo-a", 6));
  }

  private static void serve(Socket s, String id, boolean first) throws Exception {
    try (s) {
      InputStream in = new BufferedInputStream(s.getInputStream());
      for (Kit.Head h = Kit.readHead(in); h != null; h = Kit.readHead(in)) {
        Kit.readBody(h, in);
        String request = h.get("X-Request-Id");
        if (first && limited) {
          ARRIVALS.add(new Arrival(Kit.now(), request.substring(request.indexOf('.') + 1)));
          Kit.record("server " + id + " runs " + request);
        }
        Kit.sleep(first ? 5 : 20);
        Kit.write(s.getOutputStream(), "HTTP/1.1 200 OK\nX-Request-Id: " + request
            + "\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\nX-Server-Load: 1,0,6"
            + (first && limited ? "\nServer-Limit: " + LIMIT : "")
            + "\nContent-Length: 4\n\ndone");
      }
    }
  }
}
