import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * DRAIN: a machine is started again while an application server leaves. The servers fill more than
 * one page of the store's list; the server reports that it is draining after the machine has been
 * given the page with its entry, and before it asks for the next one.
 */
final class PagedList {
  private static final int ENGINES = 50;
  private static final int APPLICATIONS = 6;
  private static final String LEAVING = "i-02d9e6b0";
  private static final int DRAIN_MS = 4_000;
  private static final int STABILITY_MS = 4_000;
  private static final int LINGER_MS = 1_000;
  private static final int ORDERS = 48;

  private static volatile long drainingMillis = Long.MAX_VALUE;
  private static volatile boolean ended;
  private static final AtomicInteger LATE_ARRIVALS = new AtomicInteger();
  private static final List<Socket> CHANNELS = new ArrayList<>();

  private PagedList() {}

  public static void main(String[] args) {
    Kit.run(PagedList::run);
  }

  private static boolean run() throws Exception {
    Path work = Kit.workDirectory();
    Kit.Store store = new Kit.Store();
    // The store answers in 4 ms; the machine is in the other region, 12 ms away.
    store.answerMillis = 4 + 2 * 12;
    store.put("config", "main", Kit.config(7,
        List.of(Kit.route("r1", "/pule252/", "non_idempotent", 1_500, 225, "core-records", 1)),
        List.of(Kit.appService("core-records"), engineService())));
    for (int i = 0; i < APPLICATIONS; i++) {
      application(store, "i-02d9e6b" + i);
    }
    int port = Kit.freePort("127.0.0.1");
    for (int i = 0; i < ENGINES; i++) {
      store.put("servers", "i-7f3a91%02x".formatted(i),
          Kit.server("core-llm", "127.0.0.1:" + port, "oslo-a", 16).replace("\"sequence\"",
              "\"stage\":\"" + (i % 3 == 0 ? "prefill" : "decode")
                  + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\""));
    }
    Kit.Node node = new Kit.Node(work, "frontend-oslo-a-1", 1, store.address);
    node.writeSettings(List.of(node.control()));
    node.start();
    node.awaitReady();
    Kit.sleep(1_000);
    AtomicBoolean armed = new AtomicBoolean(Kit.trouble());
    store.pageMade = () -> {
      if (armed.getAndSet(false)) {
        store.put("servers", LEAVING, entry(LEAVING).replace("\"ready\"", "\"draining\""));
        drainingMillis = Kit.now();
        Kit.record("store: the first page of the list was made; " + LEAVING
            + " reports draining, acknowledged");
      }
    };
    if (Kit.trouble()) {
      node.signal("KILL");
      Kit.sleep(500);
      node.start();
    }
    long started = Kit.now();
    node.awaitReady();
    Kit.sleep(started + STABILITY_MS + 500 - Kit.now());
    if (Kit.trouble() && drainingMillis == Long.MAX_VALUE) {
      throw new IllegalStateException("the server has not left");
    }
    Kit.sleep(drainingMillis == Long.MAX_VALUE ? 0 : drainingMillis + DRAIN_MS + 500 - Kit.now());
    Kit.record("the machine has been in touch for 500 ms or more; consumers send " + ORDERS
        + " orders");
    AtomicInteger served = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < ORDERS; i++) {
      int n = i;
      consumers.add(Thread.ofVirtual().start(() -> order(node, n, served, failed)));
      Kit.sleep(8);
    }
    if (Kit.trouble()) {
      Kit.sleep(drainingMillis + DRAIN_MS + LINGER_MS - Kit.now());
      end();
    }
    for (Thread t : consumers) {
      t.join();
    }
    Kit.record(served + " orders were served, " + failed + " were not; " + LATE_ARRIVALS
        + " reached " + LEAVING + " later than " + DRAIN_MS + " ms after the acknowledgement");
    return LATE_ARRIVALS.get() == 0;
  }

  private static String engineService() {
    return "{\"name\":\"core-llm\",\"health_path\":\"/health\",\"max_connections\":500,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,"
        + "\"kv_capacity_tokens\":26331,\"kv_bytes\":327680,\"link_mbps\":1500000.0,"
        + "\"moves\":true,\"backups\":true,\"stride\":8,\"most\":12,\"handle_ttl_s\":0.5,"
        + "\"switch_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}";
  }

  private static final Map<String, String> ADDRESSES = new ConcurrentHashMap<>();

  private static String entry(String id) {
    return Kit.server("core-records", ADDRESSES.get(id), "oslo-a", 6);
  }

  private static void application(Kit.Store store, String id) throws Exception {
    ServerSocket listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    ADDRESSES.put(id, "127.0.0.1:" + listener.getLocalPort());
    Kit.thread(() -> {
      while (true) {
        Socket s = listener.accept();
        if (id.equals(LEAVING)) {
          synchronized (CHANNELS) {
            CHANNELS.add(s);
          }
        }
        Kit.thread(() -> serve(s, id));
      }
    });
    store.put("servers", id, entry(id));
  }

  /** The server that leaves ends, with all its channels. */
  private static void end() throws Exception {
    ended = true;
    synchronized (CHANNELS) {
      for (Socket s : CHANNELS) {
        s.close();
      }
    }
    Kit.record(LEAVING + " has ended");
  }

  private static void serve(Socket s, String id) throws Exception {
    try (s) {
      InputStream in = new BufferedInputStream(s.getInputStream());
      for (Kit.Head h = Kit.readHead(in); h != null; h = Kit.readHead(in)) {
        Kit.readBody(h, in);
        boolean leaving = id.equals(LEAVING) && Kit.now() >= drainingMillis;
        if (id.equals(LEAVING) && drainingMillis != Long.MAX_VALUE
            && Kit.now() > drainingMillis + DRAIN_MS) {
          LATE_ARRIVALS.incrementAndGet();
        }
        Kit.record("server " + id + " runs " + h.get("X-Request-Id")
            + (leaving ? ", " + (Kit.now() - drainingMillis) + " ms after it reported draining" : ""));
        Kit.sleep(150);
        if (ended && id.equals(LEAVING)) {
          return;
        }
        Kit.write(s.getOutputStream(), "HTTP/1.1 200 OK\nX-Request-Id: " + h.get("X-Request-Id")
            + "\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\nX-Server-Load: 1,0,6"
            + (leaving ? "\nServer-Leaving: 1" : "") + "\nContent-Length: 4\n\ndone");
      }
    }
  }

  private static void order(Kit.Node node, int n, AtomicInteger served, AtomicInteger failed) {
    String id = Integer.toHexString(0x9c41d000 + n);
    try (Socket s = node.connect()) {
      Kit.write(s.getOutputStream(), "POST /pule252/" + n + " HTTP/1.1\nHost: ficu95.example\n"
          + "X-Request-Id: " + id + "\nX-Deadline-Ms: 1522\nConnection: close\n"
          + "Content-Length: 5\n\norder");
      InputStream in = new BufferedInputStream(s.getInputStream());
      Kit.Head h = Kit.readHead(in);
      Kit.record("consumer got " + (h == null ? "no answer" : h.first()) + " to " + id);
      (h != null && h.status() == 200 ? served : failed).incrementAndGet();
    } catch (Exception e) {
      Kit.record("consumer: " + e + " for " + id);
      failed.incrementAndGet();
    }
  }
}
