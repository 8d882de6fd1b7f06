package org.mustardlatch.core.ledger;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;

/**
 * Decides which changes a record allows in its current state, and the response to the requester.
 */
final class RecordTransitions {
  private static final Duration FULL_SHARD_RETRY_AFTER = Duration.ofMinutes(15);
  private static final Duration CANCELLED_RETRY_AFTER = Duration.ofSeconds(1);

  private final LedgerLimits limits;

  RecordTransitions(LedgerLimits limits) {
    this.limits = limits;
  }

  /** Applies an operation to the editor if it modifies a record, and returns its response. */
  ChangeDecision apply(PendingChange.Operation operation, ShardEditor editor, long nowSeconds) {
    return switch (operation) {
      case PendingChange.Operation.Start s -> start(s.attempt(), editor, nowSeconds);
      case PendingChange.Operation.Cancel c -> cancel(c, editor, nowSeconds);
      case PendingChange.Operation.Finish f -> finish(f.request(), editor, nowSeconds);
    };
  }

  private ChangeDecision start(Attempt attempt, ShardEditor editor, long nowSeconds) {
    CompactRecord compact = editor.compactRecord(attempt.key());
    if (compact != null) {
      boolean sameRequest =
          compact.requestChecksum().equals(CompactRecord.checksumOf(attempt.requestDigest()));
      return ChangeDecision.definitive(
          startResponse(
              attempt,
              new StartResult.Existing(compact.state(), sameRequest, compact.status(), null)));
    }
    LedgerRecord found = editor.fullRecord(attempt.key());
    if (found != null && found.nonce().equals(attempt.nonce())) {
      return startWithOwnRecord(attempt, found);
    }
    if (found != null && found.state() != RecordState.CANCELLED) {
      return startWithRecordOfOtherAttempt(attempt, found, nowSeconds);
    }
    if (editor.maxEncodedBytesWith(null) > limits.maxShardBytes()) {
      return ChangeDecision.definitive(
          startResponse(
              attempt,
              new StartResult.NotStarted(ErrorCode.STORE_UNAVAILABLE, FULL_SHARD_RETRY_AFTER)));
    }
    editor.put(newRecord(attempt, RecordState.STARTED, nowSeconds));
    return ChangeDecision.modified(startResponse(attempt, new StartResult.Started()));
  }

  private static ChangeDecision startWithOwnRecord(Attempt attempt, LedgerRecord found) {
    return ChangeDecision.definitive(
        startResponse(
            attempt,
            switch (found.state()) {
              case STARTED -> new StartResult.Started();
              case CANCELLED ->
                  new StartResult.NotStarted(ErrorCode.STORE_UNAVAILABLE, CANCELLED_RETRY_AFTER);
              case FINISHED, UNKNOWN ->
                  new StartResult.Existing(found.state(), true, found.status(), found.response());
            }));
  }

  private static ChangeDecision startWithRecordOfOtherAttempt(
      Attempt attempt, LedgerRecord found, long nowSeconds) {
    boolean sameRequest = found.requestDigest().equals(attempt.requestDigest());
    boolean finished = found.state() == RecordState.FINISHED;
    boolean inProgressTimePassed =
        nowSeconds - found.startedSeconds() > LedgerLimits.MAX_IN_PROGRESS_TIME.toSeconds();
    RecordState state =
        found.state() == RecordState.STARTED && inProgressTimePassed
            ? RecordState.UNKNOWN
            : found.state();
    ShardCommand response =
        startResponse(
            attempt,
            new StartResult.Existing(state, sameRequest, found.status(), found.response()));
    return finished ? ChangeDecision.definitive(response) : ChangeDecision.provisional(response);
  }

  private static ChangeDecision cancel(
      PendingChange.Operation.Cancel operation, ShardEditor editor, long nowSeconds) {
    Attempt attempt = operation.attempt();
    ShardCommand response = new ShardCommand.CancelResponse(attempt);
    LedgerRecord found = editor.fullRecord(attempt.key());
    if (found != null && found.nonce().equals(attempt.nonce())) {
      if (found.state() != RecordState.STARTED) {
        // A paused writer may have stored the attempt as STARTED again.
        return ChangeDecision.provisional(response);
      }
      editor.put(found.withState(RecordState.CANCELLED, 0, null, nowSeconds));
      return ChangeDecision.modified(response);
    }
    boolean keyIsFree =
        editor.compactRecord(attempt.key()) == null
            && (found == null || found.state() == RecordState.CANCELLED);
    if (!keyIsFree || !operation.createIfAbsent()) {
      return ChangeDecision.provisional(response); // another node may have created the record
    }
    editor.put(newRecord(attempt, RecordState.CANCELLED, nowSeconds));
    return ChangeDecision.modified(response);
  }

  private ChangeDecision finish(
      ShardEvent.FinishRequested request, ShardEditor editor, long nowSeconds) {
    LedgerRecord found = editor.fullRecord(request.key());
    if (found == null || !found.nonce().equals(request.nonce())) {
      return ChangeDecision.provisional(finishResponse(request, false));
    }
    return switch (found.state()) {
      case CANCELLED -> ChangeDecision.definitive(finishResponse(request, false));
      case FINISHED -> ChangeDecision.definitive(finishResponse(request, true));
      case UNKNOWN, STARTED -> {
        if (found.state() == request.state()) {
          yield ChangeDecision.definitive(finishResponse(request, true));
        }
        boolean responseFits =
            editor.maxEncodedBytesWith(request.response()) <= limits.maxBytesWithResponses();
        String response = responseFits ? request.response() : null;
        editor.put(found.withState(request.state(), request.status(), response, nowSeconds));
        yield ChangeDecision.modified(finishResponse(request, true));
      }
    };
  }

  private static LedgerRecord newRecord(Attempt a, RecordState state, long nowSeconds) {
    @Nullable String noResponse = null;
    return new LedgerRecord(
        a.key(),
        a.requestDigest(),
        state,
        a.nonce(),
        a.host(),
        a.incarnation(),
        nowSeconds,
        nowSeconds,
        0,
        noResponse);
  }

  private static ShardCommand startResponse(Attempt attempt, StartResult result) {
    return new ShardCommand.StartResponse(attempt, result);
  }

  private static ShardCommand finishResponse(ShardEvent.FinishRequested r, boolean stored) {
    return new ShardCommand.FinishResponse(r.key(), r.nonce(), stored);
  }
}
