import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * MIXED: servers answer before they have read a long body, without a length. One of three servers
 * crashes in the middle of its answers: its channels are reset. At that time consumers send the
 * last bytes of their bodies. No consumer may get the part of an answer as a whole one.
 */
final class UnframedReset {
  private static final int SERVERS = 3;
  private static final int SLOTS = 24;
  private static final int UPLOADS = 60;
  private static final int ROUNDS = 8;
  private static final int FIRST_PART = 100_000;
  private static final int LAST_PART = 2_000;
  private static final byte[] LAST = new byte[LAST_PART];
  private static final int ANSWER_BYTES = 4_800;
  private static final int ANSWERED_BYTES = 1_500;

  /** The id of the server that runs a request. */
  private static final Map<String, String> SERVER_OF = new ConcurrentHashMap<>();

  private static volatile CountDownLatch answered;
  private static volatile CountDownLatch crash;
  private static volatile CountDownLatch mayEnd;
  private static volatile CountDownLatch ended;
  private static volatile String crashing = "";

  private UnframedReset() {}

  public static void main(String[] args) {
    Kit.run(UnframedReset::run);
  }

  private static boolean run() throws Exception {
    Path work = Kit.workDirectory();
    Kit.Store store = new Kit.Store();
    store.put("config", "main", Kit.config(7,
        List.of(Kit.route("r1", "/pule252/", "non_idempotent", 10_000, 900, "vevstua-app", 1)),
        List.of(Kit.appService("vevstua-app"))));
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(new Server(store, "i-7f3a91c" + i));
    }
    Kit.Node node = new Kit.Node(work, "frontend-oslo-a-1", 1, store.address);
    node.writeSettings(List.of(node.control()));
    node.start();
    node.awaitReady();
    Kit.sleep(500);
    int broken = 0;
    for (int i = 0; i < ROUNDS; i++) {
      Server server = servers.get(i % SERVERS);
      broken += round(node, server, i);
      if (Kit.trouble()) {
        store.remove("servers", server.id);
        servers.set(i % SERVERS, new Server(store, "i-02d9e6b" + i));
        Kit.sleep(1_000);
      }
    }
    Kit.record(broken + " of " + UPLOADS * ROUNDS
        + " consumers got a part of an answer as a whole one");
    return broken == 0;
  }

  private static int round(Kit.Node node, Server server, int n) throws Exception {
    answered = new CountDownLatch(UPLOADS);
    crash = new CountDownLatch(1);
    mayEnd = new CountDownLatch(1);
    ended = new CountDownLatch(UPLOADS);
    crashing = Kit.trouble() ? server.id : "";
    List<Socket> sockets = new ArrayList<>();
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < UPLOADS; i++) {
      String id = "9c41d07b%02x%02x".formatted(n, i);
      Socket s = node.connect();
      sockets.add(s);
      ids.add(id);
      OutputStream out = s.getOutputStream();
      Kit.write(out, "POST /pule252/2f HTTP/1.1\nHost: ficu95.example\nX-Request-Id: " + id
          + "\nX-Deadline-Ms: 10000\nContent-Length: " + (FIRST_PART + LAST_PART) + "\n\n");
      byte[] body = Arrays.copyOf(("order " + id).getBytes(StandardCharsets.US_ASCII), FIRST_PART);
      Kit.thread(() -> {
        out.write(body);
        out.flush();
      });
    }
    Kit.record("consumers sent the heads of " + UPLOADS + " requests and " + FIRST_PART
        + " bytes of each body");
    if (!answered.await(8, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the servers have not begun to answer all");
    }
    Kit.sleep(300);
    Kit.record(crashing.isEmpty() ? "no server crashes" : "server " + crashing + " crashes");
    List<Socket> order = new ArrayList<>();
    for (int i = 0; i < UPLOADS; i++) {
      // Those of the server that crashes first, as their bodies end while it crashes.
      order.add(server.id.equals(SERVER_OF.get(ids.get(i))) ? 0 : order.size(), sockets.get(i));
    }
    crash.countDown();
    for (Socket s : order) {
      s.getOutputStream().write(LAST);
      s.getOutputStream().flush();
    }
    mayEnd.countDown();
    Kit.record("consumers sent the last " + LAST_PART + " bytes of each body");
    if (!ended.await(8, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the servers have not ended their answers");
    }
    int broken = 0;
    for (int i = 0; i < UPLOADS; i++) {
      broken += outcome(sockets.get(i), ids.get(i)) ? 0 : 1;
    }
    return broken;
  }

  /** Returns false if the consumer gets a part of the answer as a complete answer. */
  private static boolean outcome(Socket socket, String id) {
    String server = " to " + id + " of " + SERVER_OF.get(id);
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Kit.Head head = Kit.readHead(in);
      if (head == null) {
        Kit.record("consumer: channel closed without an answer" + server);
        return true;
      }
      byte[] body = Kit.readBody(head, in);
      boolean whole = body.length == ANSWER_BYTES;
      boolean complete = head.length() < 0 || body.length == head.length();
      boolean held = head.status() / 100 != 2 || whole || !complete;
      Kit.record("consumer got " + head.first() + server + ", X-Server-Stamp "
          + head.get("X-Server-Stamp") + ", Content-Length " + head.get("Content-Length") + ", "
          + body.length + " bytes" + (held ? "" : ": A PART OF THE ANSWER, AS A WHOLE ONE"));
      return held;
    } catch (Exception e) {
      Kit.record("consumer: " + e + server);
      return true;
    }
  }

  /** A server that answers early and without a length. */
  private static final class Server {
    final String id;

    Server(Kit.Store store, String id) throws Exception {
      this.id = id;
      ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
      Kit.thread(() -> {
        while (true) {
          Socket s = listener.accept();
          Kit.thread(() -> serve(s));
        }
      });
      store.put("servers", id,
          Kit.server("vevstua-app", "127.0.0.1:" + listener.getLocalPort(), "oslo-a", SLOTS));
    }

    private void serve(Socket s) throws Exception {
      try (s) {
        InputStream in = new BufferedInputStream(s.getInputStream(), 64);
        Kit.Head h = Kit.readHead(in);
        if (h == null) {
          return;
        }
        String request = h.get("X-Request-Id");
        SERVER_OF.put(request, id);
        byte[] answer = new byte[ANSWER_BYTES];
        Arrays.fill(answer, (byte) 'x');
        Kit.write(s.getOutputStream(), "HTTP/1.1 200 OK\nX-Request-Id: " + request
            + "\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\nX-Server-Load: 1,0," + SLOTS
            + "\nContent-Type: application/json\nConnection: close\n\n");
        s.getOutputStream().write(answer, 0, ANSWERED_BYTES);
        s.getOutputStream().flush();
        in.readNBytes(FIRST_PART);
        Kit.record("server " + id + " runs " + request + ", has sent a head without a length and "
            + ANSWERED_BYTES + " of " + ANSWER_BYTES + " bytes of its answer, and has read "
            + FIRST_PART + " bytes");
        answered.countDown();
        (id.equals(crashing) ? crash : mayEnd).await();
        if (id.equals(crashing)) {
          // A reset, as by the end of a process that has not read all that has arrived.
          s.setSoLinger(true, 0);
        } else {
          in.readNBytes(LAST_PART);
          s.getOutputStream().write(answer, ANSWERED_BYTES, ANSWER_BYTES - ANSWERED_BYTES);
          s.getOutputStream().flush();
        }
        s.close();
        ended.countDown();
      }
    }
  }
}
