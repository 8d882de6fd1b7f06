package review;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A server behind the system: keeps channels open and serves one request at a time on each. */
abstract class Server implements AutoCloseable {
  private static final AtomicInteger COUNT = new AtomicInteger();

  /** A request that arrived, and the channel that it came on. */
  static final class Arrival {
    final String method;
    final String path;
    final Map<String, String> headers;
    final byte[] body;
    final Socket channel;
    final InputStream in;

    Arrival(
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        Socket channel,
        InputStream in) {
      this.method = method;
      this.path = path;
      this.headers = headers;
      this.body = body;
      this.channel = channel;
      this.in = in;
    }

    String id() {
      return headers.getOrDefault("X-Request-Id", "-");
    }

    void write(String text) throws IOException {
      write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void write(byte[] bytes) throws IOException {
      OutputStream out = channel.getOutputStream();
      out.write(bytes);
      out.flush();
    }

    /** Answers with a status, headers and a body with its length. */
    void answer(String status, String headerLines, String text) throws IOException {
      write(
          "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s"
              .formatted(status, headerLines, text.length(), text));
    }
  }

  final Rig rig;
  final String service;
  final String stage;
  volatile String id;
  private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket listener;
  private volatile boolean closed;

  Server(Rig rig, String service, String stage) throws IOException {
    this.rig = rig;
    this.service = service;
    this.stage = stage;
    id = nextId();
    listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    rig.threads.execute(this::accept);
  }

  private String nextId() {
    return "i-" + (stage.isEmpty() ? "app" : stage) + COUNT.incrementAndGet();
  }

  /**
   * Ends all that a process that crashes would: the listener and all channels, in order as a
   * kernel closes them. The next start comes some time later, at the same address under a new id.
   */
  void crash(Store store, int slots, long downMillis) {
    String old = id;
    rig.note("server " + old + " crashes");
    int port = listener.getLocalPort();
    closed = true;
    closeQuietly(listener);
    channels.forEach(Server::closeQuietly);
    channels.clear();
    rig.threads.execute(
        () -> {
          Rig.sleep(downMillis);
          try {
            id = nextId();
            listener = new ServerSocket(port, 200, InetAddress.getByName("127.0.0.1"));
            closed = false;
            rig.threads.execute(this::accept);
            store.remove("servers", old);
            store.put("servers", id, entry("ready", slots));
            rig.note("server " + id + " starts where " + old + " was");
          } catch (IOException e) {
            rig.note("server " + old + " can't start again: " + e);
          }
        });
  }

  private static void closeQuietly(Closeable c) {
    try {
      c.close();
    } catch (IOException e) {
      // It carries nothing more either way.
    }
  }

  /** Returns what the server writes to the store about itself. */
  String entry(String state, int slots) {
    return """
        {"service":"%s","address":"127.0.0.1:%d","zone":"heredia","version":"v1","slots":%d,\
        "state":"%s","cold_remaining_ms":0,%s"sequence":0,"born":1700000000000}"""
        .formatted(
            service,
            listener.getLocalPort(),
            slots,
            state,
            stage.isEmpty()
                ? ""
                : "\"stage\":\"%s\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                    .formatted(stage));
  }

  private void accept() {
    while (!closed) {
      try {
        Socket s = listener.accept();
        s.setTcpNoDelay(true);
        rig.threads.execute(() -> serveChannel(s));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serveChannel(Socket s) {
    channels.add(s);
    try (s) {
      InputStream in = new BufferedInputStream(s.getInputStream());
      while (!closed) {
        String line = Wire.readLine(in);
        Map<String, String> headers = Rig.headers();
        Wire.readHeaders(in, headers);
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        String[] words = line.split(" ");
        Arrival a = new Arrival(words[0], words[1], headers, body, s, in);
        if (!id.equals(headers.get("X-Expect-Instance"))) {
          a.answer("421 Misdirected Request", "X-Instance-Id: " + id + "\r\n", "");
        } else {
          serve(a);
        }
      }
    } catch (IOException e) {
      // The caller closed the channel, or the server crashed.
    } finally {
      channels.remove(s);
    }
  }

  /** Serves a request that is for this server. */
  abstract void serve(Arrival a) throws IOException;

  @Override
  public void close() {
    closed = true;
    closeQuietly(listener);
  }
}
