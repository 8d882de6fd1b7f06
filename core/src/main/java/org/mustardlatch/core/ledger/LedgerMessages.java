package org.mustardlatch.core.ledger;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.LedgerMessage.LedgerFinish;
import org.mustardlatch.core.peer.LedgerMessage.LedgerStart;
import org.mustardlatch.core.peer.LedgerMessage.LedgerStarted;

/** Translates between messages of nodes and the events of this package. */
final class LedgerMessages {
  private static final String REFUSED = "REFUSED";
  private static final String REUSED = "REUSED";
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private LedgerMessages() {}

  static LedgerStart start(Attempt a) {
    return new LedgerStart(a.key().shard(), a.key().digest(), a.nonce(), a.request());
  }

  static LedgerFinish finish(ShardEvent.FinishRequested f) {
    return new LedgerFinish(
        f.key().shard(), f.key().digest(), f.nonce(), f.state().name(), f.status(), f.answer());
  }

  /**
   * Reads a request to start.
   *
   * @throws IllegalArgumentException when a value of the message is malformed
   */
  static Attempt attempt(LedgerStart m, HostId from, long incarnation) {
    return new Attempt(
        new LedgerKey(m.key()), m.requestDigest(), m.nonce(), from.value(), incarnation);
  }

  static ShardEvent.FinishRequested finishRequest(LedgerFinish m) {
    return new ShardEvent.FinishRequested(
        new LedgerKey(m.key()),
        m.nonce(),
        RecordState.valueOf(m.state()),
        m.status(),
        m.response());
  }

  static LedgerStarted answer(Attempt a, StartResult result) {
    return switch (result) {
      case StartResult.Started s -> started(a, RecordState.STARTED.name(), a.nonce(), 0, null);
      case StartResult.NotStarted n -> started(a, REFUSED, "", 0, null);
      case StartResult.Existing e ->
          started(a, e.sameRequest() ? e.state().name() : REUSED, "", e.status(), e.answer());
    };
  }

  static LedgerStarted finished(LedgerKey key, String nonce) {
    return new LedgerStarted(key.digest(), nonce, RecordState.FINISHED.name(), nonce, 0, null);
  }

  /**
   * Reads the owner's answer.
   *
   * @throws IllegalArgumentException when the state is not known
   */
  static KeyedEvent event(LedgerStarted m) {
    boolean own = m.nonce().equals(m.requestedNonce());
    if (m.state().equals(REFUSED)) {
      return startAnswered(new StartResult.NotStarted(ErrorCode.STORE_UNAVAILABLE, RETRY_AFTER));
    }
    if (m.state().equals(REUSED)) {
      return startAnswered(new StartResult.Existing(RecordState.UNKNOWN, false, 0, null));
    }
    RecordState state = RecordState.valueOf(m.state());
    if (own && state == RecordState.FINISHED) {
      return new KeyedEvent.FinishAnswered(true);
    }
    return startAnswered(
        own && state == RecordState.STARTED
            ? new StartResult.Started()
            : new StartResult.Existing(state, true, m.status(), m.response()));
  }

  private static KeyedEvent startAnswered(StartResult result) {
    return new KeyedEvent.StartAnswered(StartPath.OWNER, result);
  }

  private static LedgerStarted started(
      Attempt a, String state, String holder, int status, @Nullable String answer) {
    return new LedgerStarted(a.key().digest(), a.nonce(), state, holder, status, answer);
  }
}
