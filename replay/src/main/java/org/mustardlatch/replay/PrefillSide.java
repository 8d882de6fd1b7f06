package org.mustardlatch.replay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.KvHandle;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;

/** The prefill half of a fake engine: one prompt at a time in order, and the results it keeps. */
final class PrefillSide {
  /** Life of a result that is not fetched. */
  static final Duration KV_LIFE = Duration.ofMillis(800);

  /** Fixed cost of a prefill besides its tokens. */
  private static final long OVERHEAD_NANOS = 5_000_000;

  private final Upstream upstream;
  private final long kvBytesPerToken;
  private final TimerService timers;
  private final PrefillAccount account;
  private final EngineMemory memory;
  private final PrefixCache cache;
  private final Deque<EngineWork> queue = new ArrayDeque<>();
  private final Map<String, Export> exports = new LinkedHashMap<>();
  private @Nullable Running running;
  private double slowdown = 1;

  PrefillSide(
      Upstream upstream,
      long kvBytesPerToken,
      TimerService timers,
      PrefillAccount account,
      EngineMemory memory) {
    this.upstream = upstream;
    this.kvBytesPerToken = kvBytesPerToken;
    this.timers = timers;
    this.account = account;
    this.memory = memory;
    this.cache = PrefixCache.within(upstream.memoryPieces());
  }

  void slowDown(double factor) {
    slowdown = factor;
  }

  void start(EngineWork work) {
    if (!memory.take(EngineWork.pieces(work.promptTokens()))) {
      work.reply().accept(new RoutingEvent.PrefillFailed(work.attempt(), Failure.REFUSED));
      return;
    }
    queue.add(work);
    runNext();
  }

  /** Drops an attempt that waits, runs or is kept as a result. */
  void cancel(AttemptId attempt) {
    for (EngineWork w : List.copyOf(queue)) {
      if (w.attempt().equals(attempt)) {
        queue.remove(w);
        memory.give(EngineWork.pieces(w.promptTokens()));
      }
    }
    Running r = running;
    if (r != null && r.work.attempt().equals(attempt)) {
      abort(r, null);
      runNext();
    }
    for (Export e : List.copyOf(exports.values())) {
      if (e.attempt.equals(attempt)) {
        drop(e.reference);
      }
    }
  }

  /** Marks a result as being fetched; returns false when it is gone. */
  boolean beginFetch(String reference, Runnable onLost) {
    Export e = exports.get(reference);
    if (e != null) {
      e.fetchers.add(onLost);
    }
    return e != null;
  }

  /** Ends a fetch that succeeded and drops the result. */
  void endFetch(String reference) {
    Export e = exports.get(reference);
    if (e != null) {
      e.fetchers.clear();
      drop(reference);
    }
  }

  void release(String reference) {
    drop(reference);
  }

  /** Loses everything. */
  Collection<EngineWork> die() {
    List<EngineWork> lost = new ArrayList<>(queue);
    Running r = running;
    if (r != null) {
      lost.addFirst(r.work);
      abort(r, WasteCause.ENGINE_DIED);
    }
    queue.forEach(w -> memory.give(EngineWork.pieces(w.promptTokens())));
    queue.clear();
    for (Export e : List.copyOf(exports.values())) {
      account.failed(e.reference, WasteCause.ENGINE_DIED);
      drop(e.reference);
    }
    cache.clear();
    return lost;
  }

  /** Returns the attempts that wait or run. */
  List<EngineWork> held() {
    List<EngineWork> held = new ArrayList<>(queue);
    if (running != null) {
      held.addFirst(running.work);
    }
    return held;
  }

  int queued() {
    return queue.size();
  }

  private void runNext() {
    if (running != null || queue.isEmpty()) {
      return;
    }
    EngineWork work = queue.remove();
    int cached = cache.cachedTokens(work.request().prefixBlocks());
    int tokens = Math.max(1, work.promptTokens() - cached);
    double nanos = (OVERHEAD_NANOS + tokens * 1e9 / upstream.prefillTokensPerSecond()) * slowdown;
    Running r = new Running(work, tokens, timers.nanos(), (long) nanos);
    running = r;
    timers.schedule(
        Duration.ofNanos(r.durationNanos),
        () -> {
          if (r.equals(running)) {
            finish(r);
          }
        });
  }

  private void finish(Running r) {
    running = null;
    EngineWork work = r.work;
    cache.add(work.request().prefixBlocks());
    String reference = account.computed(work.request().id(), r.tokens);
    int pieces = EngineWork.pieces(work.promptTokens());
    exports.put(reference, new Export(reference, work.attempt(), pieces));
    timers.schedule(KV_LIFE, () -> expire(reference));
    long bytes = work.promptTokens() * kvBytesPerToken;
    long expires = timers.nanos() + KV_LIFE.toNanos();
    KvHandle handle = new KvHandle(upstream.id(), reference, bytes, expires);
    work.reply().accept(new RoutingEvent.PrefillFinished(work.attempt(), handle));
    runNext();
  }

  private void abort(Running r, @Nullable WasteCause cause) {
    running = null;
    memory.give(EngineWork.pieces(r.work.promptTokens()));
    double done = (double) (timers.nanos() - r.startNanos) / r.durationNanos;
    String reference = account.computed(r.work.request().id(), Math.round(r.tokens * done));
    if (cause != null) {
      account.failed(reference, cause);
    }
  }

  private void expire(String reference) {
    Export e = exports.get(reference);
    if (e != null) {
      account.failed(
          reference, e.fetchers.isEmpty() ? WasteCause.KV_EXPIRED : WasteCause.TRANSFER_STALLED);
      drop(reference);
    }
  }

  private void drop(String reference) {
    Export e = exports.remove(reference);
    if (e != null) {
      memory.give(e.pieces);
      e.fetchers.forEach(Runnable::run);
    }
  }

  private record Running(EngineWork work, int tokens, long startNanos, long durationNanos) {}

  private static final class Export {
    private final String reference;
    private final AttemptId attempt;
    private final int pieces;
    private final List<Runnable> fetchers = new ArrayList<>();

    Export(String reference, AttemptId attempt, int pieces) {
      this.reference = reference;
      this.attempt = attempt;
      this.pieces = pieces;
    }
  }
}
