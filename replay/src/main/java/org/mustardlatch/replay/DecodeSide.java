package org.mustardlatch.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.KvHandle;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;

/** The decode half of a fake engine: one batch in which every answer gets a token a step. */
final class DecodeSide {
  /** Time of one step when at most half of the slots are taken. */
  static final double STEP_MS = 40;

  /** Growth of the step time from half of the slots to all: 52 ms when full. */
  static final double FULL_GROWTH = 0.3;

  private static final double JITTER = 0.05;

  private final int slots;
  private final TimerService timers;
  private final RandomGenerator random;
  private final PrefillAccount account;
  private final EngineMemory memory;
  private final Map<AttemptId, Stream> streams = new LinkedHashMap<>();
  private boolean stepping;
  private double slowdown = 1;
  private long life;

  DecodeSide(
      int slots,
      TimerService timers,
      RandomGenerator random,
      PrefillAccount account,
      EngineMemory memory) {
    this.slots = slots;
    this.timers = timers;
    this.random = random;
    this.account = account;
    this.memory = memory;
  }

  /** Returns the time of one step with this many answers in the batch, milliseconds. */
  static double stepMs(int running, int slots) {
    double overHalf = Math.max(0, 2.0 * running / slots - 1);
    return STEP_MS * (1 + FULL_GROWTH * overHalf);
  }

  void slowDown(double factor) {
    slowdown = factor;
  }

  /**
   * Takes a slot and fetches the KV cache.
   *
   * @param source the engine that has it
   * @param link carries it; not used when this engine has it itself
   */
  void start(EngineWork work, KvHandle handle, int resumeFrom, FakeEngine source, FakeLink link) {
    AttemptId attempt = work.attempt();
    int pieces = EngineWork.pieces(work.promptTokens() + work.request().maxOutputTokens());
    if (streams.size() >= slots || streams.containsKey(attempt) || !memory.take(pieces)) {
      account.failed(handle.reference(), WasteCause.DECODE_REFUSED);
      fail(work, Failure.REFUSED);
      return;
    }
    Stream s = new Stream(work, handle.reference(), pieces, resumeFrom);
    streams.put(attempt, s);
    boolean found = source.prefill().beginFetch(handle.reference(), () -> lost(s));
    if (!found) {
      lost(s);
    } else if (source.decode() == this) {
      fetched(s, source);
    } else {
      link.transfer(handle.bytes(), () -> fetched(s, source));
    }
  }

  void cancel(AttemptId attempt) {
    remove(attempt);
  }

  /** Loses everything. */
  Collection<EngineWork> die() {
    List<EngineWork> lost = held();
    for (Stream s : List.copyOf(streams.values())) {
      account.failed(s.reference, WasteCause.ENGINE_DIED);
      remove(s.work.attempt());
    }
    stepping = false;
    life++;
    return lost;
  }

  List<EngineWork> held() {
    return new ArrayList<>(streams.values().stream().map(s -> s.work).toList());
  }

  private boolean holds(Stream s) {
    return streams.get(s.work.attempt()) == s;
  }

  private void lost(Stream s) {
    if (holds(s) && !s.decoding) {
      remove(s.work.attempt());
      fail(s.work, Failure.KV_EXPIRED);
    }
  }

  private void fetched(Stream s, FakeEngine source) {
    if (!holds(s)) {
      return;
    }
    source.prefill().endFetch(s.reference);
    s.decoding = true;
    s.work.reply().accept(new RoutingEvent.DecodeStarted(s.work.attempt()));
    step();
  }

  private void step() {
    int batch = (int) streams.values().stream().filter(s -> s.decoding).count();
    if (stepping || batch == 0) {
      return;
    }
    stepping = true;
    long current = life;
    double jitter = 1 + JITTER * (2 * random.nextDouble() - 1);
    double ms = stepMs(batch, slots) * slowdown * jitter;
    timers.schedule(
        Duration.ofNanos((long) (ms * 1e6)),
        () -> {
          if (current == life) {
            emit();
          }
        });
  }

  private void emit() {
    stepping = false;
    for (Stream s : List.copyOf(streams.values())) {
      if (s.decoding) {
        token(s);
      }
    }
    step();
  }

  private void token(Stream s) {
    s.tokens++;
    AttemptId attempt = s.work.attempt();
    s.work.reply().accept(new RoutingEvent.TokensArrived(attempt, 1));
    if (s.tokens >= s.work.outputTokens()) {
      remove(attempt);
      s.work.reply().accept(new RoutingEvent.DecodeFinished(attempt));
    }
  }

  private void remove(AttemptId attempt) {
    Stream s = streams.remove(attempt);
    if (s != null) {
      memory.give(s.pieces);
    }
  }

  private static void fail(EngineWork work, Failure failure) {
    work.reply().accept(new RoutingEvent.DecodeFailed(work.attempt(), failure));
  }

  private static final class Stream {
    private final EngineWork work;
    private final String reference;
    private final int pieces;
    private int tokens;
    private boolean decoding;

    Stream(EngineWork work, String reference, int pieces, int tokens) {
      this.work = work;
      this.reference = reference;
      this.pieces = pieces;
      this.tokens = tokens;
    }
  }
}
