package review;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound application server with a number of slots. */
class Application extends Server {
  static final int SLOTS = 6;

  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final long workMillis;

  /** How often each request has run here, by its id. */
  final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

  Application(Rig rig, long workMillis) throws IOException {
    super(rig, Config.APPLICATION, "");
    this.workMillis = workMillis;
  }

  int runsOf(String id) {
    AtomicInteger n = runs.get(id);
    return n == null ? 0 : n.get();
  }

  @Override
  void serve(Arrival a) throws IOException {
    run(a);
    respond(a);
  }

  void run(Arrival a) throws IOException {
    slots.acquireUninterruptibly();
    try {
      runs.computeIfAbsent(a.id(), i -> new AtomicInteger()).incrementAndGet();
      begun(a);
      Rig.sleep(workMillis);
    } finally {
      slots.release();
    }
  }

  /** Is called when a request begins to run. */
  void begun(Arrival a) throws IOException {}

  void respond(Arrival a) throws IOException {
    a.answer(
        "200 OK",
        "X-Request-Id: %s\r\nX-Server-Stamp: %s\r\n".formatted(a.id(), id + "." + a.id()),
        "done " + a.id() + " " + "x".repeat(780));
  }
}
