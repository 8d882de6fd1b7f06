package org.mustardlatch.core.routing;

import org.mustardlatch.core.balancing.RetryBudget;
import org.mustardlatch.core.peer.AdmissionMessage.Outcome;

/**
 * Requests a second prefill of a request whose first one is late: in parallel if hedging is
 * allowed, otherwise in its place.
 */
final class LatePrefillMover {
  private final CommandCollector commands;
  private final NodeSettings settings;
  private final AttemptDriver driver;
  private final RetryBudget retryBudget;
  private final RetryBudget hedgeBudget = new RetryBudget(1, 5);

  LatePrefillMover(
      CommandCollector commands,
      NodeSettings settings,
      AttemptDriver driver,
      RetryBudget retryBudget) {
    this.commands = commands;
    this.settings = settings;
    this.driver = driver;
    this.retryBudget = retryBudget;
  }

  /** Adds to the hedge budget what a new request permits. */
  void requestArrived() {
    hedgeBudget.deposit(settings.limits().hedgeBudgetFraction());
  }

  /** Requests another prefill engine, once for each request and if the budget permits. */
  void requestSecond(EntryRequest q, Attempt late) {
    boolean hedging = settings.policyParameters().hedgingAllowed();
    RetryBudget budget = hedging ? hedgeBudget : retryBudget;
    if (q.secondPrefillRequested || late.prefillEngine == null || !budget.tryAcquire()) {
      return;
    }
    q.secondPrefillRequested = true;
    q.excluded.add(late.prefillEngine);
    Attempt second = new Attempt(q.nextAttempt(), late.cell, null);
    second.enterState(Attempt.State.ASKING, commands.now());
    if (driver.contactNextNode(q, second)) {
      String rule = hedging ? "hedged" : "late_prefill_elsewhere";
      commands.explain(q.request.id(), rule, "prefill on " + late.prefillEngine + " is late");
      q.hedge = second;
    }
  }

  /**
   * Cancels a late prefill whose second one was granted, unless they run in parallel: it wastes
   * less than running both.
   */
  void granted(EntryRequest q, Attempt granted) {
    Attempt late = q.current;
    if (granted == q.hedge
        && late != null
        && late.state == Attempt.State.PREFILL
        && !settings.policyParameters().hedgingAllowed()) {
      commands.explain(q.request.id(), "late_prefill_moved", "from " + late.prefillEngine);
      driver.cancel(late, Outcome.CANCELLED, false);
      q.current = granted;
      q.hedge = null;
    }
  }
}
