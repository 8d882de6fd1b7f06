package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three servers sends additional bytes after some of its answers, late, on the kept channel:
 * where the answer to the next request is due. The bytes are a refusal that names no request.
 */
final class RefusalOfNoRequest {
  /** Servers are full now and then, with or without the disruption. */
  private static final int REFUSES_EVERY = 10;

  /** Share of its answers after which the faulty server sends additional bytes. */
  private static final double SPOILED_SHARE = 0.03;

  private static final int CALLERS = 10;
  private static final long RUN_MILLIS = 25_000;
  private static final long WORK_MILLIS = 20;
  private static final long TIME_LIMIT_MILLIS = 800;

  /** The bytes that the examples of messages show under "a server sheds", with their length. */
  private static final String ADDITIONAL_BYTES =
      "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

  private RefusalOfNoRequest() {}

  private static final class Refusing extends Application {
    private final boolean faulty;
    private final AtomicInteger arrivals = new AtomicInteger();
    private final AtomicInteger spoiled = new AtomicInteger();
    private final Map<Socket, Boolean> owed = new ConcurrentHashMap<>();

    Refusing(Rig rig, boolean faulty) throws IOException {
      super(rig, WORK_MILLIS);
      this.faulty = faulty;
    }

    @Override
    void serve(Arrival a) throws IOException {
      int n = arrivals.incrementAndGet();
      if (n % REFUSES_EVERY == 0) {
        a.answer(
            "503 Service Unavailable",
            "X-Not-Executed: 1\r\nX-Request-Id: %s\r\n".formatted(a.id()),
            "");
        if (faulty && (spoiled.get() + 1) <= SPOILED_SHARE * n) {
          spoiled.incrementAndGet();
          owed.put(a.channel, true);
        }
        return;
      }
      super.serve(a);
    }

    @Override
    void begun(Arrival a) throws IOException {
      if (owed.remove(a.channel) != null) {
        rig.note("server " + id + " runs " + a.id() + " and sends additional bytes on its channel");
        a.write(ADDITIONAL_BYTES);
      }
    }
  }

  static int run(Rig rig) throws Exception {
    Store store = new Store(500, 4);
    store.put("config", "main", Config.version(7));
    List<Refusing> servers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Refusing s = new Refusing(rig, rig.trouble && i == 0);
      servers.add(s);
      store.put("servers", s.id, s.entry("ready", Application.SLOTS));
    }
    Rig.Node node = rig.startNodes(1, store.address()).getFirst();
    Rig.sleep(5_000);
    Map<String, Caller.Answer> answers = new ConcurrentHashMap<>();
    long end = System.nanoTime() + RUN_MILLIS * 1_000_000;
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      rig.threads.execute(() -> sendOrders(node, number, end, answers));
    }
    Rig.sleep(RUN_MILLIS + 2 * TIME_LIMIT_MILLIS);
    int twice = 0;
    int refused = 0;
    int served = 0;
    for (Map.Entry<String, Caller.Answer> e : answers.entrySet()) {
      int runs = servers.stream().mapToInt(s -> s.runsOf(e.getKey())).sum();
      int status = e.getValue().status();
      served += status == 200 ? 1 : 0;
      if (runs > 1) {
        twice++;
        rig.note("TWICE: " + e.getKey() + " ran " + runs + " times, answered " + status);
      }
      if (runs > 0 && (status == 503 || status == 429 || status == 408 || status == 421)) {
        refused++;
        rig.note("REFUSED: " + e.getKey() + " ran and was answered " + status);
      }
    }
    Refusing first = servers.getFirst();
    rig.conclude(
        "orders: %d, served: %d, ran twice: %d, refused though run: %d; the first server sent additional bytes after %d of %d answers"
            .formatted(
                answers.size(),
                served,
                twice,
                refused,
                first.spoiled.get() - first.owed.size(),
                first.arrivals.get()));
    if (served < 100) {
      throw new IllegalStateException("too few orders were served");
    }
    return twice + refused > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private static void sendOrders(
      Rig.Node node, int caller, long end, Map<String, Caller.Answer> answers) {
    int n = 0;
    while (System.nanoTime() < end) {
      try (Caller c = new Caller(node)) {
        Caller.Answer a;
        do {
          String id = "order-" + caller + "-" + n++;
          a =
              c.call(
                  "POST",
                  Config.ORDER_PATH + "2f",
                  Rig.headers(
                      "X-Request-Id", id, "X-Deadline-Ms", String.valueOf(TIME_LIMIT_MILLIS)),
                  new byte[600],
                  2 * TIME_LIMIT_MILLIS);
          answers.put(id, a);
          TimeUnit.MILLISECONDS.sleep(60);
        } while (!a.closes() && System.nanoTime() < end);
      } catch (IOException e) {
        Rig.sleep(100);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  public static void main(String[] arguments) throws IOException {
    Rig.main(Path.of(arguments[0]), RefusalOfNoRequest::run);
  }
}
