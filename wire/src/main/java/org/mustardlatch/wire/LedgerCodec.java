package org.mustardlatch.wire;

import org.mustardlatch.core.peer.LedgerMessage;
import org.mustardlatch.wire.generated.PeerProto;
import org.mustardlatch.wire.generated.PeerProto.Envelope;

/** Converts ledger messages to and from the body of an envelope. */
final class LedgerCodec {
  private LedgerCodec() {}

  static void encode(LedgerMessage message, Envelope.Builder out) {
    switch (message) {
      case LedgerMessage.LedgerStart m ->
          out.getLedgerStartBuilder()
              .setShard(m.shard())
              .setKey(m.key())
              .setNonce(m.nonce())
              .setRequestDigest(m.requestDigest());
      case LedgerMessage.LedgerStarted m -> {
        PeerProto.LedgerStarted.Builder b =
            out.getLedgerStartedBuilder()
                .setKey(m.key())
                .setAskedNonce(m.requestedNonce())
                .setState(m.state())
                .setNonce(m.nonce())
                .setStatus(m.status());
        if (m.response() != null) {
          b.setAnswer(m.response());
        }
      }
      case LedgerMessage.LedgerFinish m -> {
        PeerProto.LedgerFinish.Builder b =
            out.getLedgerFinishBuilder()
                .setShard(m.shard())
                .setKey(m.key())
                .setNonce(m.nonce())
                .setState(m.state())
                .setStatus(m.status());
        if (m.response() != null) {
          b.setAnswer(m.response());
        }
      }
    }
  }

  static LedgerMessage decode(Envelope e) {
    return switch (e.getBodyCase()) {
      case LEDGER_START -> {
        PeerProto.LedgerStart m = e.getLedgerStart();
        yield new LedgerMessage.LedgerStart(
            m.getShard(), m.getKey(), m.getNonce(), m.getRequestDigest());
      }
      case LEDGER_STARTED -> {
        PeerProto.LedgerStarted m = e.getLedgerStarted();
        yield new LedgerMessage.LedgerStarted(
            m.getKey(),
            m.getAskedNonce(),
            m.getState(),
            m.getNonce(),
            m.getStatus(),
            m.hasAnswer() ? m.getAnswer() : null);
      }
      case LEDGER_FINISH -> {
        PeerProto.LedgerFinish m = e.getLedgerFinish();
        yield new LedgerMessage.LedgerFinish(
            m.getShard(),
            m.getKey(),
            m.getNonce(),
            m.getState(),
            m.getStatus(),
            m.hasAnswer() ? m.getAnswer() : null);
      }
      default -> throw PeerCodec.unexpectedBody(e);
    };
  }
}
