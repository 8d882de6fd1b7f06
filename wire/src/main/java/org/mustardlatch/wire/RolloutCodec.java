package org.mustardlatch.wire;

import org.mustardlatch.core.peer.RolloutMessage;
import org.mustardlatch.wire.generated.PeerProto.Envelope;

/** Converts messages about manifest revisions to and from the body of an envelope. */
final class RolloutCodec {
  private RolloutCodec() {}

  static void encode(RolloutMessage message, Envelope.Builder out) {
    switch (message) {
      case RolloutMessage.ConfigOffer m ->
          out.getConfigOfferBuilder()
              .setRevision(m.revision())
              .setDigest(PeerCodec.digestToBytes(m.digest()));
      case RolloutMessage.ConfigFetch m -> out.getConfigFetchBuilder().setRevision(m.revision());
      case RolloutMessage.ConfigBody m ->
          out.getConfigBodyBuilder()
              .setRevision(m.revision())
              .setGzip(Compression.compress(m.text()));
      case RolloutMessage.ConfigApplied m ->
          out.getConfigAppliedBuilder().setRevision(m.revision());
    }
  }

  static RolloutMessage decode(Envelope e) {
    return switch (e.getBodyCase()) {
      case CONFIG_OFFER ->
          new RolloutMessage.ConfigOffer(
              e.getConfigOffer().getRevision(),
              PeerCodec.digestFromBytes(e.getConfigOffer().getDigest()));
      case CONFIG_FETCH -> new RolloutMessage.ConfigFetch(e.getConfigFetch().getRevision());
      case CONFIG_BODY ->
          new RolloutMessage.ConfigBody(
              e.getConfigBody().getRevision(), Compression.decompress(e.getConfigBody().getGzip()));
      case CONFIG_APPLIED -> new RolloutMessage.ConfigApplied(e.getConfigApplied().getRevision());
      default -> throw PeerCodec.unexpectedBody(e);
    };
  }
}
