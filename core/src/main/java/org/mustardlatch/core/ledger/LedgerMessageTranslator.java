package org.mustardlatch.core.ledger;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.LedgerMessage.LedgerFinish;
import org.mustardlatch.core.peer.LedgerMessage.LedgerStart;
import org.mustardlatch.core.peer.LedgerMessage.LedgerStarted;

/** Translates between the messages that nodes exchange and the events of this package. */
final class LedgerMessageTranslator {
  private static final String REFUSED = "REFUSED";
  private static final String REUSED = "REUSED";
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private LedgerMessageTranslator() {}

  static LedgerStart toStartMessage(Attempt a) {
    return new LedgerStart(a.key().shard(), a.key().digest(), a.nonce(), a.requestDigest());
  }

  static LedgerFinish toFinishMessage(ShardEvent.FinishRequested f) {
    return new LedgerFinish(
        f.key().shard(), f.key().digest(), f.nonce(), f.state().name(), f.status(), f.response());
  }

  /**
   * Converts a request to start into an attempt of the sending node.
   *
   * @throws IllegalArgumentException if a value of the message is malformed
   */
  static Attempt toAttempt(LedgerStart m, HostId from, long incarnation) {
    return new Attempt(
        new LedgerKey(m.key()), m.requestDigest(), m.nonce(), from.value(), incarnation);
  }

  static ShardEvent.FinishRequested toFinishRequest(LedgerFinish m) {
    return new ShardEvent.FinishRequested(
        new LedgerKey(m.key()),
        m.nonce(),
        RecordState.valueOf(m.state()),
        m.status(),
        m.response());
  }

  static LedgerStarted toStartResponse(Attempt a, StartResult result) {
    return switch (result) {
      case StartResult.Started s ->
          startedMessage(a, RecordState.STARTED.name(), a.nonce(), 0, null);
      case StartResult.NotStarted n -> startedMessage(a, REFUSED, "", 0, null);
      case StartResult.Existing e ->
          startedMessage(
              a, e.sameRequest() ? e.state().name() : REUSED, "", e.status(), e.response());
    };
  }

  /** Returns the response to a stored finish, which also has the type {@code LedgerStarted}. */
  static LedgerStarted toFinishResponse(LedgerKey key, String nonce) {
    return new LedgerStarted(key.digest(), nonce, RecordState.FINISHED.name(), nonce, 0, null);
  }

  /**
   * Converts the response of the owner of a shard to a start or a finish into an event.
   *
   * @throws IllegalArgumentException if the state is unknown
   */
  static KeyedRequestEvent toEvent(LedgerStarted m) {
    boolean ownRecord = m.nonce().equals(m.requestedNonce());
    if (m.state().equals(REFUSED)) {
      return startResponseReceived(
          new StartResult.NotStarted(ErrorCode.STORE_UNAVAILABLE, RETRY_AFTER));
    }
    if (m.state().equals(REUSED)) {
      return startResponseReceived(new StartResult.Existing(RecordState.UNKNOWN, false, 0, null));
    }
    RecordState state = RecordState.valueOf(m.state());
    if (ownRecord && state == RecordState.FINISHED) {
      return new KeyedRequestEvent.FinishResponseReceived(true);
    }
    return startResponseReceived(
        ownRecord && state == RecordState.STARTED
            ? new StartResult.Started()
            : new StartResult.Existing(state, true, m.status(), m.response()));
  }

  private static KeyedRequestEvent startResponseReceived(StartResult result) {
    return new KeyedRequestEvent.StartResponseReceived(ResponseSource.OWNER, result);
  }

  private static LedgerStarted startedMessage(
      Attempt a, String state, String recordNonce, int status, @Nullable String response) {
    return new LedgerStarted(a.key().digest(), a.nonce(), state, recordNonce, status, response);
  }
}
