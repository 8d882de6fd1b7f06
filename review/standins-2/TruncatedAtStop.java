import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * LOST: a machine gets SIGTERM while consumers read answers that their server has sent whole. The
 * machine must let the answers be read; it has grace_s.
 */
final class TruncatedAtStop {
  private static final int ANSWER_BYTES = 640_000;
  private static final int CONSUMERS = 5;
  private static final int PART = 17_500;
  private static final int PART_MS = 50;

  private static final CountDownLatch heads = new CountDownLatch(CONSUMERS);

  private TruncatedAtStop() {}

  public static void main(String[] args) {
    Kit.run(TruncatedAtStop::run);
  }

  private static boolean run() throws Exception {
    Path work = Kit.workDirectory();
    Kit.Store store = new Kit.Store();
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    Kit.thread(() -> {
      while (true) {
        Socket s = server.accept();
        Kit.thread(() -> serve(s));
      }
    });
    store.put("config", "main", Kit.config(7,
        List.of(Kit.route("r1", "/pule252/", "non_idempotent", 2_000, 300, "vevstua-app", 1)),
        List.of(Kit.appService("vevstua-app"))));
    store.put("servers", "i-7f3a91c2",
        Kit.server("vevstua-app", "127.0.0.1:" + server.getLocalPort(), "oslo-a", 6));
    Kit.Node node = new Kit.Node(work, "frontend-oslo-a-1", 1, store.address);
    node.writeSettings(List.of(node.control()));
    node.start();
    node.awaitReady();
    for (int i = 0; i < 30; i++) {
      warmUp(node, i);
    }

    long[] read = new long[CONSUMERS];
    String[] end = new String[CONSUMERS];
    Thread[] consumers = new Thread[CONSUMERS];
    for (int i = 0; i < CONSUMERS; i++) {
      int n = i;
      consumers[i] = Thread.ofVirtual().start(() -> consume(node, n, read, end));
    }
    heads.await();
    if (Kit.trouble()) {
      node.signal("TERM");
    }
    long term = Kit.now();
    for (Thread t : consumers) {
      t.join();
    }
    boolean held = true;
    for (int i = 0; i < CONSUMERS; i++) {
      held &= read[i] == ANSWER_BYTES;
    }
    Kit.record("all channels ended " + (Kit.now() - term) + " ms after the SIGTERM (grace 8000 ms)");
    return held;
  }

  /** Sends a request with a short answer, so that the process has loaded its classes. */
  private static void warmUp(Kit.Node node, int n) throws Exception {
    try (Socket s = node.connect()) {
      Kit.write(s.getOutputStream(), "POST /pule252/short HTTP/1.1\nHost: ficu95.example\n"
          + "X-Request-Id: warm-" + n + "\nX-Deadline-Ms: 2000\nContent-Length: 5\n\norder");
      Kit.readBody(Kit.readHead(s.getInputStream()), s.getInputStream());
    }
  }

  /** Answers each request at once, with a length. */
  private static void serve(Socket s) throws Exception {
    try (s) {
      InputStream in = new BufferedInputStream(s.getInputStream());
      for (Kit.Head h = Kit.readHead(in); h != null; h = Kit.readHead(in)) {
        Kit.readBody(h, in);
        int length = h.path().endsWith("/short") ? 800 : ANSWER_BYTES;
        Kit.record("server runs " + h.get("X-Request-Id"));
        Kit.write(s.getOutputStream(), "HTTP/1.1 200 OK\nX-Request-Id: " + h.get("X-Request-Id")
            + "\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\nX-Server-Load: 1,0,6"
            + "\nContent-Type: application/json\nContent-Length: " + length + "\n\n");
        s.getOutputStream().write(new byte[length]);
        s.getOutputStream().flush();
        Kit.record("server has sent the whole answer to " + h.get("X-Request-Id"));
      }
    }
  }

  /** Sends a request on a kept channel and reads the answer at some 350 KB a second. */
  private static void consume(Kit.Node node, int n, long[] read, String[] end) {
    String id = "9c41d07be2a35f6" + n;
    try (Socket s = node.connect(16_384)) {
      long began = Kit.now();
      Kit.write(s.getOutputStream(), "POST /pule252/2f HTTP/1.1\nHost: ficu95.example\n"
          + "X-Request-Id: " + id + "\nX-Deadline-Ms: 2000\nContent-Length: 5\n\norder");
      Kit.record("consumer sent " + id);
      InputStream in = s.getInputStream();
      Kit.Head head = Kit.readHead(in);
      Kit.record("consumer got the head of " + id + ": " + head.first() + ", length "
          + head.length() + ", Connection " + head.get("Connection"));
      heads.countDown();
      while (read[n] < head.length()) {
        byte[] part = in.readNBytes((int) Math.min(PART, head.length() - read[n]));
        read[n] += part.length;
        if (part.length == 0) {
          break;
        }
        Kit.sleep(PART_MS);
      }
      end[n] = "after " + (Kit.now() - began) + " ms";
    } catch (Exception e) {
      end[n] = String.valueOf(e);
    }
    Kit.record("consumer read " + read[n] + " of " + ANSWER_BYTES + " bytes of " + id + ", "
        + end[n]);
  }
}
