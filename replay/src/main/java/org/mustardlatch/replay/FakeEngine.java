package org.mustardlatch.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.KvHandle;
import org.mustardlatch.core.routing.LoadReport;
import org.mustardlatch.core.routing.ReportedAttempt;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;

/** A stand-in for a model engine. It refuses work when it has no free slot or too little memory. */
final class FakeEngine {
  /** Time after which a node notices that a silent engine makes no progress. */
  private static final Duration STALL_TIMEOUT = Duration.ofSeconds(2);

  /** Time after which a node gives up connecting to a silent engine. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final Upstream upstream;
  private final TimerService timers;
  private final PrefillSide prefill;
  private final DecodeSide decode;
  private final EngineMemory memory;
  private boolean alive = true;
  private boolean silent;

  FakeEngine(
      Upstream upstream,
      long kvBytesPerToken,
      TimerService timers,
      RandomGenerator random,
      PrefillAccount account) {
    this.upstream = upstream;
    this.timers = timers;
    this.memory = new EngineMemory(upstream.memoryPieces());
    this.prefill = new PrefillSide(upstream, kvBytesPerToken, timers, account, memory);
    this.decode = new DecodeSide(upstream.slots(), timers, random, account, memory);
  }

  Upstream upstream() {
    return upstream;
  }

  PrefillSide prefill() {
    return prefill;
  }

  DecodeSide decode() {
    return decode;
  }

  boolean isAlive() {
    return alive;
  }

  void startPrefill(EngineWork work) {
    if (!alive) {
      refuseConnection(work, false);
    } else if (running() + prefill.queued() >= upstream.slots()) {
      work.reply().accept(new RoutingEvent.PrefillFailed(work.attempt(), Failure.REFUSED));
    } else {
      prefill.start(work);
    }
  }

  void startDecode(
      EngineWork work, KvHandle handle, int resumeFrom, FakeEngine source, FakeLink link) {
    if (!alive) {
      refuseConnection(work, true);
    } else {
      decode.start(work, handle, resumeFrom, source, link);
    }
  }

  void cancel(AttemptId attempt) {
    prefill.cancel(attempt);
    decode.cancel(attempt);
  }

  /** Drops an attempt by the name that {@link #held} gives. */
  void cancelHeld(ReportedAttempt held) {
    works().stream()
        .filter(w -> w.attempt().toString().equals(held.attempt()))
        .filter(w -> w.incarnation() == held.incarnation())
        .forEach(w -> cancel(w.attempt()));
  }

  void slowDown(double factor) {
    prefill.slowDown(factor);
    decode.slowDown(factor);
  }

  /**
   * Loses all work.
   *
   * @param silently whether connections go silent instead of breaking
   */
  void die(boolean silently) {
    alive = false;
    silent = silently;
    Duration noticed = silently ? STALL_TIMEOUT : Duration.ZERO;
    Failure failure = silently ? Failure.STALLED : Failure.CRASHED;
    for (EngineWork w : prefill.die()) {
      later(noticed, w, new RoutingEvent.PrefillFailed(w.attempt(), failure));
    }
    for (EngineWork w : decode.die()) {
      later(noticed, w, new RoutingEvent.DecodeFailed(w.attempt(), failure));
    }
  }

  /** Comes back with nothing. */
  void revive() {
    alive = true;
  }

  LoadReport load() {
    return new LoadReport(running(), prefill.queued(), memory.free(), upstream.leaving());
  }

  List<ReportedAttempt> held() {
    return works().stream()
        .map(w -> new ReportedAttempt(w.attempt().toString(), w.owner(), w.incarnation()))
        .toList();
  }

  private List<EngineWork> works() {
    List<EngineWork> all = new ArrayList<>(prefill.held());
    all.addAll(decode.held());
    return all;
  }

  private int running() {
    return decode.held().size() + prefill.held().size() - prefill.queued();
  }

  private void refuseConnection(EngineWork work, boolean decoding) {
    RoutingEvent failed =
        decoding
            ? new RoutingEvent.DecodeFailed(work.attempt(), Failure.DISCONNECTED)
            : new RoutingEvent.PrefillFailed(work.attempt(), Failure.DISCONNECTED);
    later(silent ? CONNECT_TIMEOUT : Duration.ZERO, work, failed);
  }

  private void later(Duration delay, EngineWork work, RoutingEvent event) {
    timers.schedule(delay, () -> work.reply().accept(event));
  }
}
