package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A process is told to stop while it serves streams. Each caller sends its next request on the same
 * channel as soon as its stream has ended, since nothing has told it that the channel will close.
 */
final class RequestAfterStream {
  private static final int CALLERS = 6;
  private static final int EVENT_MILLIS = 100;

  /** Events of the first stream of the first caller; each further one has two more. */
  private static final int FIRST_EVENTS = 50;

  private static final int NEXT_EVENTS = 50;
  private static final long TIME_LIMIT_MILLIS = 14_000;
  private static final double GRACE_SECONDS = 8;

  /** A request that was sent no later than this after SIGTERM may be cut at the end. */
  private static final double EXCUSED_SECONDS = 3;

  private RequestAfterStream() {}

  static int run(Rig rig) throws Exception {
    Store store = new Store(500, 4);
    store.put("config", "main", Config.version(7));
    List<Engine> engines =
        List.of(
            new Engine(rig, "prefill", EVENT_MILLIS),
            new Engine(rig, "decode", EVENT_MILLIS),
            new Engine(rig, "decode", EVENT_MILLIS));
    for (Engine e : engines) {
      store.put("servers", e.id, e.entry("ready", 12));
    }
    Rig.Node node = rig.startNodes(2, store.address()).getFirst();
    node.watchEnd();
    Rig.sleep(5_000);
    AtomicInteger broken = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    double[] terminated = {Double.MAX_VALUE};
    CountDownLatch done = new CountDownLatch(CALLERS);
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      rig.threads.execute(
          () -> {
            try (Caller c = new Caller(node)) {
              int first = FIRST_EVENTS + 2 * number;
              Caller.Answer a = stream(rig, c, "first-" + number, first);
              if (a.closes()) {
                rig.note("the channel of caller " + number + " is closed");
                return;
              }
              double sent = rig.seconds();
              String id = "next-" + number;
              Caller.Answer b = stream(rig, c, id, NEXT_EVENTS);
              double afterTerm = sent - terminated[0];
              boolean passedOn = engines.stream().anyMatch(e -> e.begun.contains(id));
              if (b.complete()) {
                served.incrementAndGet();
              } else if (passedOn
                  && afterTerm > EXCUSED_SECONDS
                  && afterTerm < GRACE_SECONDS + 1
                  && rig.seconds() - sent < TIME_LIMIT_MILLIS / 1000.0) {
                broken.incrementAndGet();
                rig.note(
                    "LOST: %s was sent %.1f s after SIGTERM, passed on and cut off"
                        .formatted(id, afterTerm));
              }
            } catch (IOException e) {
              rig.note("caller " + number + ": " + e);
            } finally {
              done.countDown();
            }
          });
    }
    Rig.sleep(1_000);
    if (rig.trouble) {
      node.terminate();
      terminated[0] = rig.seconds();
    }
    if (!done.await(40, TimeUnit.SECONDS)) {
      throw new IllegalStateException("callers still wait");
    }
    Rig.sleep(500);
    rig.conclude(
        "next requests served: %d, cut off: %d of %d".formatted(served.get(), broken.get(), CALLERS));
    if (engines.stream().allMatch(e -> e.begun.isEmpty())) {
      throw new IllegalStateException("no stream was served");
    }
    return broken.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private static Caller.Answer stream(Rig rig, Caller c, String id, int events) {
    rig.note("sends " + id);
    Caller.Answer a =
        c.call(
            "POST", Config.STREAM_PATH + events, Streams.headers(id, TIME_LIMIT_MILLIS), new byte[2000], TIME_LIMIT_MILLIS);
    rig.note(
        "answer to %s: status %d, %s, Connection: %s"
            .formatted(
                id,
                a.status(),
                a.complete() ? "complete" : "broken off " + tail(a.body()),
                a.headers().getOrDefault("Connection", "not stated")));
    return a;
  }

  private static String tail(String body) {
    return body.substring(Math.max(0, body.length() - 60)).replace("\n", "|");
  }

  public static void main(String[] arguments) throws IOException {
    Rig.main(Path.of(arguments[0]), RequestAfterStream::run);
  }
}
