import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * CONFIG, LOST: the operator adds a model service whose name has a letter beyond ASCII. After that
 * it adds a route, and the application servers are replaced one after the other. The machine must
 * follow all of that.
 */
final class NewService {
  private static final String NAME = Kit.trouble() ? "spr\u00e5k-llm" : "spraak-llm";
  private static final int CONFIG_APPLY_MS = 2_500;

  private static final List<ServerSocket> FIRST = new ArrayList<>();
  private static final List<Socket> CHANNELS = new ArrayList<>();

  private NewService() {}

  /** Ends the channels of the servers that have ended: all that are open by then are idle. */
  private static void closeChannels() throws Exception {
    synchronized (CHANNELS) {
      for (Socket s : CHANNELS) {
        s.close();
      }
      CHANNELS.clear();
    }
  }

  public static void main(String[] args) {
    Kit.run(NewService::run);
  }

  private static String engineService(String name) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":370,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
        + "\"kv_capacity_tokens\":36170,\"kv_bytes\":327680,\"link_mbps\":2700000.0,"
        + "\"moves\":true,\"backups\":true,\"stride\":8,\"most\":12,\"handle_ttl_s\":0.5,"
        + "\"switch_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}";
  }

  private static boolean run() throws Exception {
    Path work = Kit.workDirectory();
    Kit.Store store = new Kit.Store();
    String confirm = Kit.route("r1", "/pule252/", "non_idempotent", 1_000, 300, "vevstua-app", 1);
    String app = Kit.appService("vevstua-app");
    String llm = engineService("veve-llm");
    store.put("config", "main", Kit.config(7, List.of(confirm), List.of(app, llm)));
    List<ServerSocket> old = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      old.add(server(store, "i-7f3a91c" + i));
    }
    Kit.Node node = new Kit.Node(work, "frontend-oslo-a-1", 1, store.address);
    node.writeSettings(List.of(node.control()));
    node.start();
    node.awaitReady();
    Kit.sleep(500);
    boolean held = expect(send(node, "/pule252/a", 1), 200, "before the change");

    store.put("config", "main",
        Kit.config(9, List.of(confirm), List.of(app, llm, engineService(NAME))));
    Kit.record("store: version 9 acknowledged, with a service " + NAME);
    Kit.sleep(CONFIG_APPLY_MS + 500);
    held &= expect(send(node, "/pule252/b", 2), 200, "after version 9");

    String added = Kit.route("r2", "/lohu930/", "non_idempotent", 1_000, 300, "vevstua-app", 1);
    store.put("config", "main",
        Kit.config(12, List.of(confirm, added), List.of(app, llm, engineService(NAME))));
    Kit.record("store: version 12 acknowledged, with a route /lohu930/");
    Kit.sleep(CONFIG_APPLY_MS + 500);
    held &= expect(send(node, "/lohu930/c", 3), 200, "on the route of version 12");

    for (int i = 0; i < 3; i++) {
      FIRST.add(server(store, "i-02d9e6b" + i));
      store.remove("servers", "i-7f3a91c" + i);
      Kit.record("store: i-02d9e6b" + i + " registered, i-7f3a91c" + i + " removed");
      Kit.sleep(1_000);
    }
    Kit.sleep(4_000);
    for (ServerSocket s : old) {
      s.close();
    }
    closeChannels();
    Kit.record("the servers that left have ended");
    Kit.sleep(4_500);
    for (int i = 0; i < 5; i++) {
      held &= expect(send(node, "/pule252/d" + i, 10 + i), 200, "after the first release");
    }
    for (int i = 0; i < 3; i++) {
      server(store, "i-0c11aa" + i);
      store.remove("servers", "i-02d9e6b" + i);
      Kit.record("store: i-0c11aa" + i + " registered, i-02d9e6b" + i + " removed");
      Kit.sleep(1_000);
    }
    Kit.sleep(4_000);
    for (ServerSocket s : FIRST) {
      s.close();
    }
    closeChannels();
    Kit.record("the servers that left have ended");
    Kit.sleep(4_500);
    for (int i = 0; i < 5; i++) {
      held &= expect(send(node, "/pule252/e" + i, 20 + i), 200, "after the second release");
    }
    for (String l : node.log("xception")) {
      Kit.record("log of the machine: " + l);
    }
    return held;
  }

  private static boolean expect(int status, int wanted, String when) {
    Kit.record("consumer got " + status + " " + when);
    return status == wanted;
  }

  private static int send(Kit.Node node, String path, int n) {
    try (Socket s = node.connect()) {
      Kit.write(s.getOutputStream(), "POST " + path + " HTTP/1.1\nHost: ficu95.example\n"
          + "X-Request-Id: " + Integer.toHexString(0x9c41d000 + n)
          + "\nX-Deadline-Ms: 2000\nConnection: close\nContent-Length: 5\n\norder");
      InputStream in = new BufferedInputStream(s.getInputStream());
      Kit.Head h = Kit.readHead(in);
      return h == null ? 0 : h.status();
    } catch (Exception e) {
      return 0;
    }
  }

  private static ServerSocket server(Kit.Store store, String id) throws Exception {
    ServerSocket listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    Kit.thread(() -> {
      while (true) {
        Socket s = listener.accept();
        synchronized (CHANNELS) {
          CHANNELS.add(s);
        }
        Kit.thread(() -> serve(s, id));
      }
    });
    store.put("servers", id,
        Kit.server("vevstua-app", "127.0.0.1:" + listener.getLocalPort(), "oslo-a", 6));
    return listener;
  }

  private static void serve(Socket s, String id) throws Exception {
    try (s) {
      InputStream in = new BufferedInputStream(s.getInputStream());
      for (Kit.Head h = Kit.readHead(in); h != null; h = Kit.readHead(in)) {
        Kit.readBody(h, in);
        Kit.record("server " + id + " runs " + h.get("X-Request-Id"));
        Kit.write(s.getOutputStream(), "HTTP/1.1 200 OK\nX-Request-Id: " + h.get("X-Request-Id")
            + "\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\nX-Server-Load: 1,0,6"
            + "\nContent-Length: 4\n\ndone");
      }
    }
  }
}
