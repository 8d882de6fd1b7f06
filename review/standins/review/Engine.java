package review;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound model server. The path of a request says how many events its stream has. */
class Engine extends Server {
  private final long eventMillis;
  private final AtomicInteger handles = new AtomicInteger();

  /** Ids of the requests whose streams have begun. */
  final Set<String> begun = ConcurrentHashMap.newKeySet();

  /** Ids of the requests whose streams have been sent whole. */
  final Set<String> finished = ConcurrentHashMap.newKeySet();

  Engine(Rig rig, String stage, long eventMillis) throws IOException {
    super(rig, Config.ENGINES, stage);
    this.eventMillis = eventMillis;
  }

  @Override
  void serve(Arrival a) throws IOException {
    if (a.path.equals("/mustardlatch/hold-take")) {
      a.answer("200 OK", "Content-Type: application/json\r\n", "{\"hold\":\"h" + a.hashCode() + "\"}");
    } else if (a.path.startsWith("/mustardlatch/")) {
      a.answer("200 OK", "", "");
    } else if ("prefill".equals(a.headers.get("X-Stage"))) {
      Rig.sleep(90);
      a.answer(
          "200 OK",
          "Content-Type: application/json\r\nX-Request-Id: " + a.id() + "\r\n",
          "{\"transfer_handle\":\"%s-%d\",\"tokens\":3000,\"version\":1}"
              .formatted(id, handles.incrementAndGet()));
    } else {
      stream(a);
    }
  }

  /** Returns the piece of a stream with a number. */
  static String event(int number) {
    return "id: " + number + "\ndata: piece " + number + "\n\n";
  }

  void stream(Arrival a) throws IOException {
    int events = Integer.parseInt(a.path.substring(a.path.lastIndexOf('/') + 1));
    begun.add(a.id());
    rig.note("server " + id + " begins " + a.id() + ", " + events + " events");
    writeHead(a, "Transfer-Encoding: chunked\r\n");
    try {
      for (int i = 1; i <= events; i++) {
        Rig.sleep(eventMillis);
        writeChunk(a, event(i));
      }
      a.write("0\r\n\r\n");
      finished.add(a.id());
      rig.note("server " + id + " has sent all of " + a.id());
    } catch (IOException e) {
      rig.note("server " + id + " finds the channel of " + a.id() + " closed");
      throw e;
    }
  }

  /** Writes the head of a stream with a header that says how it is framed, if any does. */
  void writeHead(Arrival a, String framing) throws IOException {
    a.write(
        """
        HTTP/1.1 200 OK
        Content-Type: text/event-stream
        X-Request-Id: %s
        X-Server-Stamp: %s
        X-Weight-Versions: 1
        %s
        """
            .formatted(a.id(), id + "." + a.id(), framing.strip())
            .strip()
            .replace("\n", "\r\n")
            .concat("\r\n\r\n"));
  }

  static void writeChunk(Arrival a, String text) throws IOException {
    a.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }
}
