package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A process is told to stop while the model servers are full. Streams that it passes on pause in
 * their middle, as their server needs the memory for others, and go on some seconds later.
 */
final class PreemptedStream {
  private static final int CALLERS = 6;
  private static final int SLOTS = 12;
  private static final int EVENTS = 30;
  private static final int EVENT_MILLIS = 40;
  private static final int PAUSE_AFTER_EVENT = 20;

  /** Callers wait for four times the objective of 0.9 s. */
  private static final long PAUSE_MILLIS = 2_600;

  private static final long TIME_LIMIT_MILLIS = 14_000;
  private static final double GRACE_SECONDS = 8;

  private PreemptedStream() {}

  private static final class Full extends Engine {
    private volatile boolean full;

    Full(Rig rig) throws IOException {
      super(rig, "decode", EVENT_MILLIS);
    }

    @Override
    void serve(Arrival a) throws IOException {
      if (full && a.path.equals("/mustardlatch/hold-take")) {
        rig.note("server " + id + " has no room");
        a.answer("503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
      } else {
        super.serve(a);
      }
    }

    @Override
    void stream(Arrival a) throws IOException {
      int last = Integer.parseInt(a.headers.getOrDefault("Last-Event-Id", "0"));
      begun.add(a.id());
      rig.note("server " + id + " runs " + a.id() + " after event " + last);
      writeHead(a, "Transfer-Encoding: chunked");
      try {
        for (int i = last + 1; i <= EVENTS; i++) {
          Rig.sleep(EVENT_MILLIS);
          if (rig.trouble && last == 0 && i == PAUSE_AFTER_EVENT + 1) {
            rig.note("server " + id + " preempts " + a.id());
            Rig.sleep(PAUSE_MILLIS);
          }
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
  }

  static int run(Rig rig) throws Exception {
    Store store = new Store(500, 4);
    store.put("config", "main", Config.version(7));
    List<Full> decodes = new ArrayList<>();
    Engine prefill = new Engine(rig, "prefill", EVENT_MILLIS);
    store.put("servers", prefill.id, prefill.entry("ready", SLOTS));
    for (int i = 0; i < 3; i++) {
      Full e = new Full(rig);
      decodes.add(e);
      store.put("servers", e.id, e.entry("ready", SLOTS));
    }
    Rig.Node node = rig.startNodes(2, store.address()).getFirst();
    node.watchEnd();
    Rig.sleep(5_000);
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    double[] stopped = {Double.MAX_VALUE};
    CountDownLatch done = new CountDownLatch(CALLERS);
    for (int i = 0; i < CALLERS; i++) {
      String id = "stream-" + i;
      rig.threads.execute(
          () -> {
            try (Caller c = new Caller(node)) {
              double sent = rig.seconds();
              Caller.Answer a =
                  c.call(
                      "POST",
                      Config.RESUMABLE_PATH + EVENTS,
                      Streams.headers(id, TIME_LIMIT_MILLIS),
                      new byte[2000],
                      TIME_LIMIT_MILLIS);
              double end = rig.seconds();
              rig.note(
                  "answer to %s: %d, %s, %.1f s after it was sent"
                      .formatted(id, a.status(), a.complete() ? "complete" : "cut off", end - sent));
              boolean passedOn = decodes.stream().anyMatch(d -> d.begun.contains(id));
              if (a.complete() && a.body().endsWith(Engine.event(EVENTS))) {
                whole.incrementAndGet();
              } else if (passedOn
                  && !a.complete()
                  && end > stopped[0]
                  && end < stopped[0] + GRACE_SECONDS * 5 / 6) {
                lost.incrementAndGet();
                rig.note("LOST: %s, cut off %.1f s after SIGTERM".formatted(id, end - stopped[0]));
              }
            } catch (IOException e) {
              rig.note(id + ": " + e);
            } finally {
              done.countDown();
            }
          });
    }
    Rig.await(
        "all streams run",
        10_000,
        () -> decodes.stream().mapToInt(d -> d.begun.size()).sum() == CALLERS);
    if (rig.trouble) {
      decodes.forEach(d -> d.full = true);
      node.terminate();
      stopped[0] = rig.seconds();
    }
    if (!done.await(30, TimeUnit.SECONDS)) {
      throw new IllegalStateException("callers still wait");
    }
    Rig.sleep(4_000);
    rig.conclude(
        "streams whole: %d, cut off well before the end of the grace period: %d of %d"
            .formatted(whole.get(), lost.get(), CALLERS));
    return lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  public static void main(String[] arguments) throws IOException {
    Rig.main(Path.of(arguments[0]), PreemptedStream::run);
  }
}
