package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Processes are told to stop in turn while callers send orders whose bodies come in two parts, a
 * quarter of a second apart.
 */
final class UploadAtStop {
  private static final int NODES = 8;
  private static final int CALLERS_PER_NODE = 16;
  private static final long BODY_GAP_MILLIS = 250;
  private static final long WORK_MILLIS = 15;
  private static final long TIME_LIMIT_MILLIS = 800;
  private static final long BETWEEN_STOPS_MILLIS = 6_000;
  private static final double GRACE_SECONDS = 8;

  private UploadAtStop() {}

  /** An order: when its last byte was sent, and what came back when. */
  private record Order(
      int node, double firstByte, double lastByte, Caller.Answer answer, double end) {}

  static int run(Rig rig) throws Exception {
    Store store = new Store(500, 4);
    store.put("config", "main", Config.version(7));
    List<Application> servers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Application s = new Application(rig, WORK_MILLIS);
      servers.add(s);
      store.put("servers", s.id, s.entry("ready", Application.SLOTS));
    }
    List<Rig.Node> nodes = rig.startNodes(NODES, store.address());
    nodes.forEach(Rig.Node::watchEnd);
    Rig.sleep(5_000);
    Map<String, Order> orders = new ConcurrentHashMap<>();
    AtomicBoolean over = new AtomicBoolean();
    for (int n = 0; n < NODES; n++) {
      for (int c = 0; c < CALLERS_PER_NODE; c++) {
        int node = n;
        int caller = c;
        rig.threads.execute(() -> sendOrders(rig, nodes.get(node), node, caller, orders, over));
      }
    }
    double[] stopped = new double[NODES];
    for (int n = 0; n < NODES; n++) {
      Rig.sleep(BETWEEN_STOPS_MILLIS);
      stopped[n] = rig.trouble ? rig.seconds() : Double.MAX_VALUE / 2;
      if (rig.trouble) {
        nodes.get(n).terminate();
      }
    }
    Rig.sleep(BETWEEN_STOPS_MILLIS);
    over.set(true);
    Rig.sleep(2 * TIME_LIMIT_MILLIS);
    AtomicInteger lost = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    orders.forEach(
        (id, o) -> {
          int runs = servers.stream().mapToInt(s -> s.runsOf(id)).sum();
          double afterStop = o.lastByte() - stopped[o.node()];
          if (o.answer().complete()) {
            served.incrementAndGet();
          } else if (runs > 0
              && afterStop > 0
              && afterStop < GRACE_SECONDS + 1
              && o.end() - o.firstByte() < TIME_LIMIT_MILLIS / 1000.0) {
            lost.incrementAndGet();
            rig.note(
                "LOST: %s ran; its last byte was sent %.3f s after SIGTERM, its channel ended %.3f s later"
                    .formatted(id, afterStop, o.end() - o.lastByte()));
          }
        });
    rig.conclude(
        "orders: %d, answered: %d, run and not answered: %d, processes stopped: %d"
            .formatted(orders.size(), served.get(), lost.get(), rig.trouble ? NODES : 0));
    if (served.get() < 100) {
      throw new IllegalStateException("too few orders were served");
    }
    return lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private static void sendOrders(
      Rig rig,
      Rig.Node node,
      int number,
      int caller,
      Map<String, Order> orders,
      AtomicBoolean over) {
    int n = 0;
    while (node.alive() && !over.get()) {
      try (Caller c = new Caller(node)) {
        Caller.Answer a;
        do {
          String id = "order-" + number + "-" + caller + "-" + n++;
          double first = rig.seconds();
          double last = first;
          try {
            c.sendRaw(
                """
                POST %s2f HTTP/1.1
                Host: ficu95.example
                X-Request-Id: %s
                X-Deadline-Ms: %d
                Transfer-Encoding: chunked

                5
                order
                """
                    .formatted(Config.ORDER_PATH, id, TIME_LIMIT_MILLIS)
                    .replace("\n", "\r\n"));
            Rig.sleep(BODY_GAP_MILLIS);
            c.sendRaw("4\r\nform\r\n0\r\n\r\n");
            last = rig.seconds();
            a = c.read(2 * TIME_LIMIT_MILLIS);
          } catch (IOException e) {
            a = new Caller.Answer(0, Map.of(), String.valueOf(e.getMessage()), false);
          }
          orders.put(id, new Order(number, first, last, a, rig.seconds()));
        } while (!a.closes() && !over.get());
      } catch (IOException e) {
        Rig.sleep(50);
      }
    }
  }

  public static void main(String[] arguments) throws IOException {
    Rig.main(Path.of(arguments[0]), UploadAtStop::run);
  }
}
