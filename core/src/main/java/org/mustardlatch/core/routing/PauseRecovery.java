package org.mustardlatch.core.routing;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.peer.AdmissionMessage.Outcome;
import org.mustardlatch.core.routing.AttemptStarter.RequestCallbacks;

/**
 * Decides what becomes of the attempts of this node's requests after a pause, in which other nodes
 * may have reclaimed what was reserved for them.
 */
final class PauseRecovery {
  private final CommandCollector commands;
  private final RequestTable requests;
  private final AttemptStarter starter;
  private final AttemptDriver driver;
  private final RequestCallbacks callbacks;

  PauseRecovery(
      CommandCollector commands,
      RequestTable requests,
      AttemptStarter starter,
      AttemptDriver driver,
      RequestCallbacks callbacks) {
    this.commands = commands;
    this.requests = requests;
    this.starter = starter;
    this.driver = driver;
    this.callbacks = callbacks;
  }

  /** Replaces reservation requests from before the pause, so that old grants are not used. */
  void restartAfterShortPause() {
    starter.delayNewAttempts();
    for (EntryRequest q : requests.snapshot()) {
      for (Attempt a : q.liveAttempts()) {
        if (!a.granted() && a.inheritedKv == null) {
          driver.cancel(a, Outcome.CANCELLED, false);
          q.removeAttempt(a);
        }
      }
      if (q.liveAttempts().isEmpty() && !q.awaitsPeers) {
        starter.startAttempt(q);
      }
    }
  }

  /**
   * Replaces attempts, which other nodes may have reclaimed during the pause. A generation that may
   * be running and may not run again is left to its engine, whose response may have arrived in the
   * pause.
   */
  void restartAfterLongPause() {
    starter.delayNewAttempts();
    for (EntryRequest q : requests.snapshot()) {
      Attempt running = runningAttempt(q);
      int runs = (int) q.liveAttempts().stream().filter(PauseRecovery::mayBeRunning).count();
      Attempt kept = running != null && !q.mayGenerateAgainAfterThisRun() ? running : null;
      for (Attempt a : q.liveAttempts()) {
        if (a != kept) {
          driver.cancel(a, Outcome.CANCELLED, false);
        }
      }
      q.current = kept;
      q.hedge = null;
      if (kept != null) {
        commands.explain(q.request.id(), "kept_after_pause", "it may not run again");
        callbacks.updateTimer(q);
        continue;
      }
      q.generationRuns += runs;
      commands.explain(q.request.id(), "fenced", "this node was paused");
      boolean expired = q.tokensSent == 0 && commands.now() >= q.request.waitLimitNanos();
      if (expired) {
        callbacks.refuse(
            q, ErrorCode.DEADLINE_EXCEEDED, "the node was paused", RequestCoordinator.RETRY_AFTER);
      } else if (!q.awaitsPeers) {
        starter.startAttempt(q);
      }
    }
  }

  /** Returns the attempt whose generation an engine may be running, or null. */
  private static @Nullable Attempt runningAttempt(EntryRequest q) {
    for (Attempt a : q.liveAttempts()) {
      if (mayBeRunning(a)) {
        return a;
      }
    }
    return null;
  }

  private static boolean mayBeRunning(Attempt a) {
    return a.state.compareTo(Attempt.State.TRANSFER) >= 0;
  }
}
