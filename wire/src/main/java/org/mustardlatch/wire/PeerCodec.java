package org.mustardlatch.wire;

import com.google.protobuf.ByteString;
import java.util.HexFormat;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.peer.AdmissionMessage;
import org.mustardlatch.core.peer.BudgetMessage;
import org.mustardlatch.core.peer.EvidenceMessage;
import org.mustardlatch.core.peer.LedgerMessage;
import org.mustardlatch.core.peer.MembershipMessage;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.peer.RolloutMessage;
import org.mustardlatch.core.peer.StreamMessage;
import org.mustardlatch.wire.generated.PeerProto.Envelope;

/** Converts peer messages to and from the body of a protobuf envelope. */
public final class PeerCodec {
  private PeerCodec() {}

  /** Sets the body of an envelope to the message. */
  public static void encode(PeerMessage message, Envelope.Builder out) {
    switch (message) {
      case MembershipMessage m -> MembershipCodec.encode(m, out);
      case RolloutMessage m -> RolloutCodec.encode(m, out);
      case AdmissionMessage m -> AdmissionCodec.encode(m, out);
      case BudgetMessage m -> BudgetCodec.encode(m, out);
      case EvidenceMessage m -> EvidenceCodec.encode(m, out);
      case LedgerMessage m -> LedgerCodec.encode(m, out);
      case StreamMessage m -> StreamCodec.encode(m, out);
    }
  }

  /**
   * Returns the message of an envelope.
   *
   * @throws IllegalArgumentException if the body is missing, is a ping or pong, or contains a value
   *     that is not valid for the message
   */
  public static PeerMessage decode(Envelope envelope) {
    return switch (envelope.getBodyCase()) {
      case HEARTBEAT, HEARTBEAT_ACK, JOIN, VIEW, SUSPICION, SYNC ->
          MembershipCodec.decode(envelope);
      case CONFIG_OFFER, CONFIG_FETCH, CONFIG_BODY, CONFIG_APPLIED -> RolloutCodec.decode(envelope);
      case RESERVE,
          RESERVE_GRANTED,
          RESERVE_REFUSED,
          RESERVATION_RENEW,
          RESERVATION_RELEASE,
          CELL_SUMMARY,
          RESERVE_DECODE,
          RESERVE_QUEUED,
          RESERVE_WITHDRAW ->
          AdmissionCodec.decode(envelope);
      case BUDGET_LEASE_REQUEST, BUDGET_LEASE -> BudgetCodec.decode(envelope);
      case EVIDENCE_REQUEST,
          EVIDENCE_SENT,
          RATE_LIMIT_NOTICE,
          CRASH_REPORT,
          RUN_REQUEST,
          RUN_ENDED,
          RUN_PERMISSION,
          CLEARED,
          PROMPT_CRASH_REPORT,
          PROMPT_PARTS_CLEARED,
          LEAVING_NOTICE ->
          EvidenceCodec.decode(envelope);
      case LEDGER_START, LEDGER_STARTED, LEDGER_FINISH -> LedgerCodec.decode(envelope);
      case STREAM_BEGAN, ORIGIN_REQUEST, ORIGIN_RESPONSE -> StreamCodec.decode(envelope);
      case PING, PONG, BODY_NOT_SET ->
          throw new IllegalArgumentException("envelope has no message: " + envelope.getBodyCase());
    };
  }

  static ByteString digestToBytes(String hex) {
    return ByteString.copyFrom(HexFormat.of().parseHex(hex));
  }

  static String digestFromBytes(ByteString bytes) {
    return HexFormat.of().formatHex(bytes.toByteArray());
  }

  static Fingerprint fingerprintFromBytes(ByteString bytes) {
    return new Fingerprint(digestFromBytes(bytes));
  }

  static IllegalArgumentException unexpectedBody(Envelope envelope) {
    return new IllegalArgumentException("unexpected message " + envelope.getBodyCase());
  }

  static IllegalArgumentException invalidEnum(String field, Enum<?> value) {
    return new IllegalArgumentException("invalid " + field + " " + value);
  }
}
