package org.mustardlatch.core.routing;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.AdmissionMessage.Outcome;

/**
 * Moves a generation from an engine that is silent. The engine may still be working, so it keeps
 * the generation until another engine has accepted it: the replacement is a second attempt, {@link
 * EntryRequest#hedge}, which is dropped if it fails or if the silent engine sends something first.
 */
final class StalledStreamMover {
  /** A KV cache that expires sooner than this is not reused on another decode engine. */
  static final long MIN_KV_TIME_LEFT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Time between two requests for a replacement, after the first found no place. */
  private static final long REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final CommandCollector commands;
  private final AttemptDriver driver;

  StalledStreamMover(CommandCollector commands, AttemptDriver driver) {
    this.commands = commands;
    this.driver = driver;
  }

  /** Returns whether an attempt is to take over a generation that an engine may be running. */
  static boolean isReplacement(EntryRequest q, Attempt a) {
    return a == q.hedge && isGenerating(q.current);
  }

  private static boolean isGenerating(@Nullable Attempt a) {
    return a != null && a.state.compareTo(Attempt.State.TRANSFER) >= 0;
  }

  /** Requests a replacement for a decode without progress, if the request may run again. */
  void decodeStalled(EntryRequest q, Attempt silent) {
    requestReplacement(q, silent, null);
  }

  /** Checks a decode whose head has not arrived. */
  void checkTransfer(EntryRequest q, Attempt a) {
    KvHandle kv = a.kvHandle;
    if (isReplacement(q, a)) {
      checkReplacement(q, a);
    } else if (kv != null && commands.now() >= AttemptDeadlines.transferDeadlineNanos(a, kv)) {
      transferStalled(q, a, kv);
    }
  }

  /**
   * Requests a replacement for a decode whose head has not arrived, with the same KV cache or, if
   * that is about to expire, with a new prefill once the engine has been silent for long.
   */
  private void transferStalled(EntryRequest q, Attempt silent, KvHandle kv) {
    long now = commands.now();
    if (isUsable(kv)) {
      requestReplacement(q, silent, kv);
    } else if (now - silent.stateSinceNanos >= AttemptDeadlines.MIN_STALL_TIMEOUT_NANOS) {
      requestReplacement(q, silent, null);
    }
  }

  private boolean isUsable(KvHandle kv) {
    return kv.expiresNanos() - commands.now() >= MIN_KV_TIME_LEFT_NANOS;
  }

  private void requestReplacement(EntryRequest q, Attempt silent, @Nullable KvHandle kv) {
    long now = commands.now();
    if (silent != q.current
        || q.hedge != null
        || !q.mayGenerateAgainAfterThisRun()
        || q.attemptCount() >= RequestCoordinator.MAX_ATTEMPTS
        || now < q.nextReplacementNanos) {
      return;
    }
    q.nextReplacementNanos = now + REQUEST_INTERVAL_NANOS;
    if (silent.decodeEngine != null) {
      q.excluded.add(silent.decodeEngine);
    }
    Attempt replacement = new Attempt(q.nextAttempt(), silent.cell, kv);
    replacement.enterState(Attempt.State.ASKING, now);
    if (driver.contactNextNode(q, replacement)) {
      commands.explain(
          q.request.id(),
          "replacement_requested",
          silent.decodeEngine + " silent in " + silent.state);
      q.hedge = replacement;
    }
  }

  /**
   * Returns whether the engines granted to a replacement are of use: the decode engine must not be
   * the silent one, and the KV cache that it reuses, if any, must live long enough.
   */
  boolean isUseful(EntryRequest q, Attempt replacement, UpstreamId decodeEngine) {
    Attempt silent = q.current;
    boolean sameEngine = silent != null && decodeEngine.equals(silent.decodeEngine);
    KvHandle kv = replacement.inheritedKv;
    return !sameEngine && (kv == null || isUsable(kv));
  }

  /**
   * Cancels the silent attempt once the engine of the replacement has accepted the generation, to
   * continue it after the events that have arrived.
   */
  void takeOver(EntryRequest q, Attempt replacement) {
    Attempt silent = q.current;
    if (silent != null) {
      commands.explain(q.request.id(), "stalled_moved", "from " + silent.decodeEngine);
      q.generationRuns++;
      driver.cancel(silent, Outcome.FAILED, replacement.inheritedKv != null);
    }
    q.current = replacement;
    q.hedge = null;
  }

  /** Drops the replacement, if any, of an attempt that has made progress. */
  void progressed(EntryRequest q, Attempt a) {
    if (a == q.current && q.hedge != null && isReplacement(q, q.hedge)) {
      drop(q, "the first engine goes on");
    }
  }

  /** Drops the replacement and leaves the generation to its engine. */
  void drop(EntryRequest q, String reason) {
    Attempt replacement = q.hedge;
    if (replacement != null) {
      commands.explain(q.request.id(), "replacement_dropped", reason);
      // Its engine may have started to generate before it hears of the cancellation.
      q.generationRuns += isGenerating(replacement) ? 1 : 0;
      driver.cancel(replacement, Outcome.CANCELLED, replacement.inheritedKv != null);
      q.hedge = null;
    }
  }

  /** Drops a replacement whose engine does not respond either. */
  private void checkReplacement(EntryRequest q, Attempt replacement) {
    long silentNanos = commands.now() - replacement.stateSinceNanos;
    if (silentNanos >= AttemptDeadlines.MIN_STALL_TIMEOUT_NANOS) {
      UpstreamId engine = replacement.decodeEngine;
      if (engine != null) {
        q.excluded.add(engine);
      }
      drop(q, engine + " is silent, too");
    }
  }

  /** Returns whether another attempt of the request is to use the same KV cache. */
  boolean otherAttemptUses(EntryRequest q, Attempt a, @Nullable KvHandle kv) {
    Attempt other = a == q.current ? q.hedge : q.current;
    return kv != null
        && other != null
        && (kv.equals(other.inheritedKv) || kv.equals(other.kvHandle));
  }

  /** Cancels the attempts of a request that has ended; both may hold the same KV cache. */
  void cancelAttempts(EntryRequest q, Outcome outcome) {
    for (Attempt a : q.liveAttempts()) {
      boolean releasedWithOther = a == q.hedge && otherAttemptUses(q, a, a.inheritedKv);
      driver.cancel(a, outcome, releasedWithOther);
    }
    q.current = null;
    q.hedge = null;
  }
}
