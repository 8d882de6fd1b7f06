package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three model servers stops some of its streams in the middle of an event. Its streams come
 * in chunks, and the last chunk follows.
 */
final class EndInsideEvent {
  private static final int EVENTS = 12;
  private static final int EVENT_MILLIS = 10;
  private static final int CALLERS = 16;
  private static final long RUN_MILLIS = 25_000;
  private static final long TIME_LIMIT_MILLIS = 14_000;

  /** One in so many of its streams: 0.02 of them. */
  private static final int BREAKS_EVERY = 50;

  private EndInsideEvent() {}

  private static final class Faulty extends Engine {
    private final boolean faulty;
    private final AtomicInteger streams = new AtomicInteger();
    final Set<String> cut = ConcurrentHashMap.newKeySet();

    Faulty(Rig rig, boolean faulty) throws IOException {
      super(rig, "decode", EVENT_MILLIS);
      this.faulty = faulty;
    }

    @Override
    void stream(Arrival a) throws IOException {
      if (streams.incrementAndGet() % BREAKS_EVERY != 0 || !faulty) {
        super.stream(a);
        return;
      }
      begun.add(a.id());
      cut.add(a.id());
      rig.note("server " + id + " stops " + a.id() + " in the middle of its event 6");
      writeHead(a, "Transfer-Encoding: chunked\r\n");
      for (int i = 1; i <= 5; i++) {
        Rig.sleep(EVENT_MILLIS);
        writeChunk(a, event(i));
      }
      writeChunk(a, event(6).substring(0, 14));
      a.write("0\r\n\r\n");
    }
  }

  static int run(Rig rig) throws Exception {
    Store store = new Store(500, 4);
    store.put("config", "main", Config.version(7));
    List<Engine> engines = new ArrayList<>();
    engines.add(new Engine(rig, "prefill", EVENT_MILLIS));
    engines.add(new Engine(rig, "prefill", EVENT_MILLIS));
    Faulty faulty = new Faulty(rig, rig.trouble);
    engines.add(faulty);
    engines.add(new Faulty(rig, false));
    engines.add(new Faulty(rig, false));
    for (Engine e : engines) {
      store.put("servers", e.id, e.entry("ready", 12));
    }
    Rig.Node node = rig.startNodes(1, store.address()).getFirst();
    Rig.sleep(5_000);
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger brokenOff = new AtomicInteger();
    AtomicInteger falselyComplete = new AtomicInteger();
    long end = System.nanoTime() + RUN_MILLIS * 1_000_000;
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      rig.threads.execute(
          () -> {
            for (int n = 0; System.nanoTime() < end; n++) {
              String id = "stream-" + number + "-" + n;
              try (Caller c = new Caller(node)) {
                Caller.Answer a =
                    c.call(
                        "POST",
                        Config.STREAM_PATH + EVENTS,
                        Streams.headers(id, TIME_LIMIT_MILLIS),
                        new byte[2000],
                        TIME_LIMIT_MILLIS);
                if (a.status() == 200 && a.complete() && a.body().endsWith(Engine.event(EVENTS))) {
                  whole.incrementAndGet();
                } else if (a.status() == 200 && a.complete()) {
                  falselyComplete.incrementAndGet();
                  String tail = a.body().substring(Math.max(0, a.body().length() - 40));
                  rig.note(
                      "ORDER: %s ends as complete, its last bytes: %s"
                          .formatted(id, tail.replace("\n", "|")));
                } else {
                  brokenOff.incrementAndGet();
                  Rig.sleep(100);
                }
              } catch (IOException e) {
                Rig.sleep(100);
              }
            }
          });
    }
    Rig.sleep(RUN_MILLIS + 3_000);
    rig.conclude(
        "streams whole: %d, refused or broken off: %d, ended as complete before the last piece: %d; stopped by the first server: %d of %d"
            .formatted(
                whole.get(),
                brokenOff.get(),
                falselyComplete.get(),
                faulty.cut.size(),
                faulty.streams.get()));
    if (whole.get() < 100) {
      throw new IllegalStateException("too few streams were served");
    }
    return falselyComplete.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  public static void main(String[] arguments) throws IOException {
    Rig.main(Path.of(arguments[0]), EndInsideEvent::run);
  }
}
