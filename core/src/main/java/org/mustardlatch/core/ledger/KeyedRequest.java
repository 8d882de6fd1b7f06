package org.mustardlatch.core.ledger;

import java.time.Duration;
import java.util.function.Consumer;
import org.mustardlatch.core.error.ErrorCode;

/**
 * State machine of one keyed request on its entry node: start record, at most one dispatch, finish
 * record, response.
 *
 * <p>The caller gets "not run" only if no record of the attempt can exist or the attempt cancelled
 * its own record, and only if the attempt was not dispatched. Every other end without a response of
 * the application is "outcome unknown".
 */
public final class KeyedRequest {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Attempt attempt;
  private final long deadlineNanos;
  private final KeyedRequestTimeouts timeouts;

  private Step step = Step.NEW;
  private boolean startForwarded;
  private boolean ownerRefused;
  private boolean localStartRequested;
  private boolean localWriterRefused;
  private boolean localFinishRequested;
  private boolean dispatched;
  private boolean responded;
  private KeyedResponse.NotRun responseAfterCancel =
      new KeyedResponse.NotRun(ErrorCode.STORE_UNAVAILABLE, RETRY_AFTER);
  // Sent once the outcome is recorded, so that a repeat gets the same response.
  private KeyedResponse responseAfterFinish = new KeyedResponse.Ran();
  private ShardEvent.FinishRequested pendingFinish;

  private enum Step {
    NEW,
    STARTING,
    RUNNING,
    FINISHING,
    CANCELLING,
    DONE
  }

  /**
   * Creates the state machine of one attempt.
   *
   * @param deadlineNanos final deadline of the request, monotonic time
   */
  public KeyedRequest(Attempt attempt, long deadlineNanos, KeyedRequestTimeouts timeouts) {
    this.attempt = attempt;
    this.deadlineNanos = deadlineNanos;
    this.timeouts = timeouts;
    pendingFinish =
        new ShardEvent.FinishRequested(
            attempt.key(), attempt.nonce(), RecordState.UNKNOWN, 0, null);
  }

  /**
   * Returns whether the response to the caller was sent and the record needs no further change by
   * this request. {@link LedgerNode} handles a response to the start that arrives later.
   */
  public boolean isDone() {
    return step == Step.DONE && responded;
  }

  /** Handles one event; {@code nowNanos} is monotonic time. */
  public void handle(KeyedRequestEvent event, long nowNanos, Consumer<KeyedRequestCommand> out) {
    switch (event) {
      case KeyedRequestEvent.Accepted e -> accepted(e.ownedByOtherNode(), nowNanos, out);
      case KeyedRequestEvent.StartResponseReceived e ->
          startResponseReceived(e.source(), e.result(), nowNanos, out);
      case KeyedRequestEvent.CallerDisconnected e -> callerDisconnected(nowNanos, out);
      case KeyedRequestEvent.DispatchEnded e -> dispatchEnded(e.outcome(), nowNanos, out);
      case KeyedRequestEvent.FinishResponseReceived e -> finishResponseReceived(out);
      case KeyedRequestEvent.CancelResponseReceived e -> cancelResponseReceived(out);
      case KeyedRequestEvent.TimerFired e -> timerFired(e.timer(), nowNanos, out);
    }
  }

  private void accepted(
      boolean ownedByOtherNode, long nowNanos, Consumer<KeyedRequestCommand> out) {
    if (step != Step.NEW) {
      throw new IllegalStateException("a keyed request can be accepted only once");
    }
    step = Step.STARTING;
    out.accept(new KeyedRequestCommand.SetTimer(KeyedRequestTimer.DEADLINE, deadlineNanos));
    if (ownedByOtherNode) {
      startForwarded = true;
      out.accept(new KeyedRequestCommand.ForwardStart(attempt));
      long timeoutAtNanos = nowNanos + timeouts.forwardTimeout().toNanos();
      out.accept(
          new KeyedRequestCommand.SetTimer(KeyedRequestTimer.FORWARD_TIMEOUT, timeoutAtNanos));
    } else {
      startLocally(out);
    }
  }

  private void startLocally(Consumer<KeyedRequestCommand> out) {
    localStartRequested = true;
    out.accept(new KeyedRequestCommand.StartLocally(attempt));
  }

  private void startResponseReceived(
      ResponseSource source, StartResult result, long nowNanos, Consumer<KeyedRequestCommand> out) {
    switch (result) {
      case StartResult.Started s -> started(nowNanos, out);
      case StartResult.Existing e -> {
        if (step == Step.STARTING) {
          step = Step.DONE;
          respond(responseForExisting(e), out);
        }
      }
      case StartResult.NotStarted n -> notStarted(source, n, nowNanos, out);
    }
  }

  private void started(long nowNanos, Consumer<KeyedRequestCommand> out) {
    if (step == Step.STARTING && nowNanos < deadlineNanos) {
      step = Step.RUNNING;
      dispatched = true;
      out.accept(new KeyedRequestCommand.Dispatch());
    } else if (step == Step.STARTING) {
      cancel(nowNanos, out);
    }
  }

  private static KeyedResponse responseForExisting(StartResult.Existing e) {
    if (!e.sameRequest()) {
      return new KeyedResponse.KeyReused();
    }
    return switch (e.state()) {
      case FINISHED -> new KeyedResponse.Recorded(e.status(), e.response());
      case STARTED -> new KeyedResponse.InProgress(RETRY_AFTER);
      case UNKNOWN, CANCELLED -> new KeyedResponse.OutcomeUnknown();
    };
  }

  /**
   * Handles the refusal of a start. The request ends as "not run" only after every writer that
   * received the start refused it, because any other writer may still create the record.
   */
  private void notStarted(
      ResponseSource source,
      StartResult.NotStarted result,
      long nowNanos,
      Consumer<KeyedRequestCommand> out) {
    ownerRefused |= source == ResponseSource.OWNER;
    localWriterRefused |= source == ResponseSource.LOCAL;
    boolean ownerCannotStart = !startForwarded || ownerRefused;
    boolean localWriterCannotStart = !localStartRequested || localWriterRefused;
    if (ownerCannotStart && localWriterCannotStart && !dispatched) {
      step = step == Step.STARTING ? Step.DONE : step;
      respond(new KeyedResponse.NotRun(result.code(), result.retryAfter()), out);
    } else if (step == Step.STARTING && localWriterRefused) {
      cancel(nowNanos, out);
    }
  }

  private void callerDisconnected(long nowNanos, Consumer<KeyedRequestCommand> out) {
    if (step == Step.STARTING) {
      cancel(nowNanos, out);
    }
  }

  private void cancel(long nowNanos, Consumer<KeyedRequestCommand> out) {
    step = Step.CANCELLING;
    out.accept(new KeyedRequestCommand.CancelLocally(attempt, startForwarded));
    long timeoutAtNanos = nowNanos + timeouts.cancelTimeout().toNanos();
    out.accept(new KeyedRequestCommand.SetTimer(KeyedRequestTimer.CANCEL_TIMEOUT, timeoutAtNanos));
  }

  private void cancelResponseReceived(Consumer<KeyedRequestCommand> out) {
    if (step == Step.CANCELLING) {
      step = Step.DONE;
      respond(responseAfterCancel, out);
    }
  }

  private void dispatchEnded(
      DispatchOutcome outcome, long nowNanos, Consumer<KeyedRequestCommand> out) {
    if (step != Step.RUNNING) {
      throw new IllegalStateException("a dispatch ended, but none is in progress: " + outcome);
    }
    switch (outcome) {
      case DispatchOutcome.Completed c -> {
        pendingFinish = finishRequest(RecordState.FINISHED, c);
        finish(nowNanos, out);
      }
      case DispatchOutcome.NotSent n -> {
        responseAfterCancel = new KeyedResponse.NotRun(ErrorCode.UPSTREAM_UNAVAILABLE, RETRY_AFTER);
        cancel(nowNanos, out);
      }
      case DispatchOutcome.Unknown u -> {
        responseAfterFinish = new KeyedResponse.OutcomeUnknown();
        finish(nowNanos, out);
      }
    }
  }

  private ShardEvent.FinishRequested finishRequest(RecordState state, DispatchOutcome.Completed c) {
    return new ShardEvent.FinishRequested(
        attempt.key(), attempt.nonce(), state, c.status(), c.response());
  }

  private void finish(long nowNanos, Consumer<KeyedRequestCommand> out) {
    step = Step.FINISHING;
    if (startForwarded && !localStartRequested) {
      out.accept(new KeyedRequestCommand.ForwardFinish(pendingFinish));
      long forwardTimeoutAtNanos = nowNanos + timeouts.forwardTimeout().toNanos();
      out.accept(
          new KeyedRequestCommand.SetTimer(
              KeyedRequestTimer.FORWARD_TIMEOUT, forwardTimeoutAtNanos));
    } else {
      finishLocally(out);
    }
    long timeoutAtNanos = nowNanos + timeouts.finishTimeout().toNanos();
    out.accept(new KeyedRequestCommand.SetTimer(KeyedRequestTimer.FINISH_TIMEOUT, timeoutAtNanos));
  }

  private void finishResponseReceived(Consumer<KeyedRequestCommand> out) {
    if (step == Step.FINISHING) {
      step = Step.DONE;
      respond(responseAfterFinish, out);
    }
  }

  private void timerFired(
      KeyedRequestTimer timer, long nowNanos, Consumer<KeyedRequestCommand> out) {
    switch (timer) {
      case FORWARD_TIMEOUT -> {
        if (step == Step.STARTING && !localStartRequested) {
          startLocally(out);
        } else if (step == Step.FINISHING && !localFinishRequested) {
          finishLocally(out);
        }
      }
      case DEADLINE -> {
        if (step == Step.STARTING) {
          cancel(nowNanos, out);
        } else if (step == Step.RUNNING) {
          respond(new KeyedResponse.OutcomeUnknown(), out);
        }
      }
      case CANCEL_TIMEOUT -> {
        if (step == Step.CANCELLING) {
          respond(new KeyedResponse.OutcomeUnknown(), out);
        }
      }
      case FINISH_TIMEOUT -> {
        if (step == Step.FINISHING) {
          respond(responseAfterFinish, out);
        }
      }
    }
  }

  private void finishLocally(Consumer<KeyedRequestCommand> out) {
    localFinishRequested = true;
    out.accept(new KeyedRequestCommand.FinishLocally(pendingFinish));
  }

  private void respond(KeyedResponse response, Consumer<KeyedRequestCommand> out) {
    if (!responded) {
      responded = true;
      out.accept(new KeyedRequestCommand.Respond(response));
    }
  }
}
