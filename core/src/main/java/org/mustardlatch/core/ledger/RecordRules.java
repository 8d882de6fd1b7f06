package org.mustardlatch.core.ledger;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;

/** Which change of a record is allowed in which state. */
final class RecordRules {
  private static final Duration FULL_RETRY = Duration.ofMinutes(15);
  private static final Duration CANCELLED_RETRY = Duration.ofSeconds(1);

  private final LedgerLimits limits;

  RecordRules(LedgerLimits limits) {
    this.limits = limits;
  }

  /** Applies the goal to the editor if that needs a write, and returns its answer. */
  Decision apply(PendingChange.Goal goal, ShardEditor editor, long nowSeconds) {
    return switch (goal) {
      case PendingChange.Goal.Start s -> start(s.attempt(), editor, nowSeconds);
      case PendingChange.Goal.Cancel c -> cancel(c, editor, nowSeconds);
      case PendingChange.Goal.Finish f -> finish(f.request(), editor, nowSeconds);
    };
  }

  private Decision start(Attempt attempt, ShardEditor editor, long nowSeconds) {
    CompactRecord older = editor.older(attempt.key());
    if (older != null) {
      boolean same = older.requestCheck().equals(CompactRecord.checkOf(attempt.request()));
      return Decision.settled(
          answer(attempt, new StartResult.Existing(older.state(), same, older.status(), null)));
    }
    LedgerRecord found = editor.recent(attempt.key());
    if (found != null && found.nonce().equals(attempt.nonce())) {
      return own(attempt, found);
    }
    if (found != null && found.state() != RecordState.CANCELLED) {
      return other(attempt, found, nowSeconds);
    }
    if (editor.bytesWith(null) > limits.maxShardBytes()) {
      return Decision.settled(
          answer(attempt, new StartResult.NotStarted(ErrorCode.STORE_UNAVAILABLE, FULL_RETRY)));
    }
    editor.put(record(attempt, RecordState.STARTED, nowSeconds));
    return Decision.edit(answer(attempt, new StartResult.Started()));
  }

  private static Decision own(Attempt attempt, LedgerRecord found) {
    return Decision.settled(
        answer(
            attempt,
            switch (found.state()) {
              case STARTED -> new StartResult.Started();
              case CANCELLED ->
                  new StartResult.NotStarted(ErrorCode.STORE_UNAVAILABLE, CANCELLED_RETRY);
              case FINISHED, UNKNOWN ->
                  new StartResult.Existing(found.state(), true, found.status(), found.answer());
            }));
  }

  private static Decision other(Attempt attempt, LedgerRecord found, long nowSeconds) {
    boolean same = found.request().equals(attempt.request());
    boolean finished = found.state() == RecordState.FINISHED;
    boolean late =
        nowSeconds - found.startedSeconds() > LedgerLimits.STARTED_IN_PROGRESS.toSeconds();
    RecordState state =
        found.state() == RecordState.STARTED && late ? RecordState.UNKNOWN : found.state();
    ShardCommand answer =
        answer(attempt, new StartResult.Existing(state, same, found.status(), found.answer()));
    return finished ? Decision.settled(answer) : Decision.passing(answer);
  }

  private static Decision cancel(
      PendingChange.Goal.Cancel goal, ShardEditor editor, long nowSeconds) {
    Attempt attempt = goal.attempt();
    ShardCommand done = new ShardCommand.CancelAnswer(attempt);
    LedgerRecord found = editor.recent(attempt.key());
    if (found != null && found.nonce().equals(attempt.nonce())) {
      if (found.state() != RecordState.STARTED) {
        return Decision.passing(done); // an owner that was paused may have started it again
      }
      editor.put(found.to(RecordState.CANCELLED, 0, null, nowSeconds));
      return Decision.edit(done);
    }
    boolean free =
        editor.older(attempt.key()) == null
            && (found == null || found.state() == RecordState.CANCELLED);
    if (!free || !goal.leaveMark()) {
      return Decision.passing(done); // another node may have created the record meanwhile
    }
    editor.put(record(attempt, RecordState.CANCELLED, nowSeconds));
    return Decision.edit(done);
  }

  private Decision finish(ShardEvent.FinishRequested request, ShardEditor editor, long nowSeconds) {
    LedgerRecord found = editor.recent(request.key());
    if (found == null || !found.nonce().equals(request.nonce())) {
      return Decision.passing(finishAnswer(request, false));
    }
    return switch (found.state()) {
      case CANCELLED -> Decision.settled(finishAnswer(request, false));
      case FINISHED -> Decision.settled(finishAnswer(request, true));
      case UNKNOWN, STARTED -> {
        if (found.state() == request.state()) {
          yield Decision.settled(finishAnswer(request, true));
        }
        boolean fits = editor.bytesWith(request.answer()) <= limits.maxBytesWithAnswers();
        String answer = fits ? request.answer() : null;
        editor.put(found.to(request.state(), request.status(), answer, nowSeconds));
        yield Decision.edit(finishAnswer(request, true));
      }
    };
  }

  private static LedgerRecord record(Attempt a, RecordState state, long nowSeconds) {
    @Nullable String noAnswer = null;
    return new LedgerRecord(
        a.key(),
        a.request(),
        state,
        a.nonce(),
        a.host(),
        a.incarnation(),
        nowSeconds,
        nowSeconds,
        0,
        noAnswer);
  }

  private static ShardCommand answer(Attempt attempt, StartResult result) {
    return new ShardCommand.StartAnswer(attempt, result);
  }

  private static ShardCommand finishAnswer(ShardEvent.FinishRequested r, boolean stored) {
    return new ShardCommand.FinishAnswer(r.key(), r.nonce(), stored);
  }
}
