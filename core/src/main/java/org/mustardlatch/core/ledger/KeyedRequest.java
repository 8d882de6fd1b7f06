package org.mustardlatch.core.ledger;

import java.time.Duration;
import java.util.function.Consumer;
import org.mustardlatch.core.error.ErrorCode;

/**
 * The entry side of one keyed request: start record, one dispatch, finish record, answer.
 *
 * <p>"Not run" is answered only when no record of the attempt can exist or the attempt cancelled
 * its own record, and only when it was not dispatched. Every other end without an answer is
 * "outcome unknown".
 */
public final class KeyedRequest {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Attempt attempt;
  private final long deadlineNanos;
  private final KeyedPolicy policy;

  private Step step = Step.NEW;
  private boolean forwarded;
  private boolean ownerRefused;
  private boolean startedDirectly;
  private boolean directRefused;
  private boolean finishedDirectly;
  private boolean dispatched;
  private boolean replied;
  private KeyedReply.NotRun cancelReply =
      new KeyedReply.NotRun(ErrorCode.STORE_UNAVAILABLE, RETRY_AFTER);
  private ShardEvent.FinishRequested finish;

  private enum Step {
    NEW,
    STARTING,
    RUNNING,
    FINISHING,
    CANCELLING,
    DONE
  }

  /**
   * Creates the request.
   *
   * @param deadlineNanos final deadline, monotonic time
   */
  public KeyedRequest(Attempt attempt, long deadlineNanos, KeyedPolicy policy) {
    this.attempt = attempt;
    this.deadlineNanos = deadlineNanos;
    this.policy = policy;
    finish =
        new ShardEvent.FinishRequested(
            attempt.key(), attempt.nonce(), RecordState.UNKNOWN, 0, null);
  }

  /**
   * Returns whether the caller was answered and the record needs nothing more from this request. An
   * answer to a start that comes later is a case for {@link LedgerNode}.
   */
  public boolean done() {
    return step == Step.DONE && replied;
  }

  /** Handles one event; {@code nowNanos} is monotonic time. */
  public void handle(KeyedEvent event, long nowNanos, Consumer<KeyedCommand> out) {
    switch (event) {
      case KeyedEvent.Begin e -> begin(e.forward(), nowNanos, out);
      case KeyedEvent.StartAnswered e -> startAnswered(e.path(), e.result(), nowNanos, out);
      case KeyedEvent.CallerGone e -> callerGone(nowNanos, out);
      case KeyedEvent.RunEnded e -> runEnded(e.outcome(), nowNanos, out);
      case KeyedEvent.FinishAnswered e -> finishAnswered(out);
      case KeyedEvent.Cancelled e -> cancelled(out);
      case KeyedEvent.TimerFired e -> timerFired(e.timer(), nowNanos, out);
    }
  }

  private void begin(boolean forward, long nowNanos, Consumer<KeyedCommand> out) {
    if (step != Step.NEW) {
      throw new IllegalStateException("a keyed request begins once");
    }
    step = Step.STARTING;
    out.accept(new KeyedCommand.SetTimer(KeyedTimer.DEADLINE, deadlineNanos));
    if (forward) {
      forwarded = true;
      out.accept(new KeyedCommand.ForwardStart(attempt));
      long wait = nowNanos + policy.forwardWait().toNanos();
      out.accept(new KeyedCommand.SetTimer(KeyedTimer.FORWARD, wait));
    } else {
      startDirectly(out);
    }
  }

  private void startDirectly(Consumer<KeyedCommand> out) {
    startedDirectly = true;
    out.accept(new KeyedCommand.StartDirectly(attempt));
  }

  private void startAnswered(
      StartPath path, StartResult result, long nowNanos, Consumer<KeyedCommand> out) {
    switch (result) {
      case StartResult.Started s -> started(nowNanos, out);
      case StartResult.Existing e -> {
        if (step == Step.STARTING) {
          step = Step.DONE;
          reply(replyFor(e), out);
        }
      }
      case StartResult.NotStarted n -> notStarted(path, n, nowNanos, out);
    }
  }

  private void started(long nowNanos, Consumer<KeyedCommand> out) {
    if (step == Step.STARTING && nowNanos < deadlineNanos) {
      step = Step.RUNNING;
      dispatched = true;
      out.accept(new KeyedCommand.Dispatch());
    } else if (step == Step.STARTING) {
      cancel(nowNanos, out);
    }
  }

  private static KeyedReply replyFor(StartResult.Existing e) {
    if (!e.sameRequest()) {
      return new KeyedReply.KeyReused();
    }
    return switch (e.state()) {
      case FINISHED -> new KeyedReply.Recorded(e.status(), e.answer());
      case STARTED -> new KeyedReply.InProgress(RETRY_AFTER);
      case UNKNOWN, CANCELLED -> new KeyedReply.OutcomeUnknown();
    };
  }

  /**
   * Both ways that were tried must have refused, else the other one may still create the record.
   */
  private void notStarted(
      StartPath path, StartResult.NotStarted result, long nowNanos, Consumer<KeyedCommand> out) {
    ownerRefused |= path == StartPath.OWNER;
    directRefused |= path == StartPath.DIRECT;
    boolean ownerClear = !forwarded || ownerRefused;
    boolean directClear = !startedDirectly || directRefused;
    if (ownerClear && directClear && !dispatched) {
      step = step == Step.STARTING ? Step.DONE : step;
      reply(new KeyedReply.NotRun(result.code(), result.retryAfter()), out);
    } else if (step == Step.STARTING && directRefused) {
      cancel(nowNanos, out);
    }
  }

  private void callerGone(long nowNanos, Consumer<KeyedCommand> out) {
    if (step == Step.STARTING) {
      cancel(nowNanos, out);
    }
  }

  private void cancel(long nowNanos, Consumer<KeyedCommand> out) {
    step = Step.CANCELLING;
    out.accept(new KeyedCommand.CancelDirectly(attempt, forwarded));
    long wait = nowNanos + policy.cancelWait().toNanos();
    out.accept(new KeyedCommand.SetTimer(KeyedTimer.CANCEL, wait));
  }

  private void cancelled(Consumer<KeyedCommand> out) {
    if (step == Step.CANCELLING) {
      step = Step.DONE;
      reply(cancelReply, out);
    }
  }

  private void runEnded(RunOutcome outcome, long nowNanos, Consumer<KeyedCommand> out) {
    if (step != Step.RUNNING) {
      throw new IllegalStateException("no dispatch is in progress, but it ended: " + outcome);
    }
    switch (outcome) {
      case RunOutcome.Answered a -> {
        finish = finishAs(RecordState.FINISHED, a);
        finish(nowNanos, out);
      }
      case RunOutcome.NotSent n -> {
        cancelReply = new KeyedReply.NotRun(ErrorCode.UPSTREAM_UNAVAILABLE, RETRY_AFTER);
        cancel(nowNanos, out);
      }
      case RunOutcome.Unknown u -> {
        finish(nowNanos, out);
        reply(new KeyedReply.OutcomeUnknown(), out);
      }
    }
  }

  private ShardEvent.FinishRequested finishAs(RecordState state, RunOutcome.Answered a) {
    return new ShardEvent.FinishRequested(
        attempt.key(), attempt.nonce(), state, a.status(), a.answer());
  }

  private void finish(long nowNanos, Consumer<KeyedCommand> out) {
    step = Step.FINISHING;
    if (forwarded && !startedDirectly) {
      out.accept(new KeyedCommand.ForwardFinish(finish));
      long direct = nowNanos + policy.forwardWait().toNanos();
      out.accept(new KeyedCommand.SetTimer(KeyedTimer.FORWARD, direct));
    } else {
      finishDirectly(out);
    }
    long wait = nowNanos + policy.finishWait().toNanos();
    out.accept(new KeyedCommand.SetTimer(KeyedTimer.FINISH, wait));
  }

  private void finishAnswered(Consumer<KeyedCommand> out) {
    if (step == Step.FINISHING) {
      step = Step.DONE;
      reply(new KeyedReply.Ran(), out);
    }
  }

  private void timerFired(KeyedTimer timer, long nowNanos, Consumer<KeyedCommand> out) {
    switch (timer) {
      case FORWARD -> {
        if (step == Step.STARTING && !startedDirectly) {
          startDirectly(out);
        } else if (step == Step.FINISHING && !finishedDirectly) {
          finishDirectly(out);
        }
      }
      case DEADLINE -> {
        if (step == Step.STARTING) {
          cancel(nowNanos, out);
        } else if (step == Step.RUNNING) {
          reply(new KeyedReply.OutcomeUnknown(), out);
        }
      }
      case CANCEL -> {
        if (step == Step.CANCELLING) {
          reply(new KeyedReply.OutcomeUnknown(), out);
        }
      }
      case FINISH -> {
        if (step == Step.FINISHING) {
          reply(new KeyedReply.Ran(), out);
        }
      }
    }
  }

  private void finishDirectly(Consumer<KeyedCommand> out) {
    finishedDirectly = true;
    out.accept(new KeyedCommand.FinishDirectly(finish));
  }

  private void reply(KeyedReply reply, Consumer<KeyedCommand> out) {
    if (!replied) {
      replied = true;
      out.accept(new KeyedCommand.Reply(reply));
    }
  }
}
