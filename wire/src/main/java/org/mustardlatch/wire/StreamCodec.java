package org.mustardlatch.wire;

import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.peer.StreamMessage;
import org.mustardlatch.wire.generated.PeerProto;
import org.mustardlatch.wire.generated.PeerProto.Envelope;

/** Converts messages about the origin of streams to and from the body of an envelope. */
final class StreamCodec {
  private StreamCodec() {}

  static void encode(StreamMessage message, Envelope.Builder out) {
    var stream = PeerCodec.digestToBytes(message.stream().value());
    switch (message) {
      case StreamMessage.StreamBegan m ->
          out.getStreamBeganBuilder().setStream(stream).setEngineVersion(m.engineVersion());
      case StreamMessage.OriginRequest m ->
          out.getOriginRequestBuilder().setStream(stream).setModel(m.model().value());
      case StreamMessage.OriginResponse m -> {
        PeerProto.OriginResponse.Builder b = out.getOriginResponseBuilder();
        b.setStream(stream).setSeveralVersions(m.severalVersions());
        if (m.engineVersion() != null) {
          b.setEngineVersion(m.engineVersion());
        }
      }
    }
  }

  static StreamMessage decode(Envelope e) {
    return switch (e.getBodyCase()) {
      case STREAM_BEGAN ->
          new StreamMessage.StreamBegan(
              PeerCodec.fingerprintFromBytes(e.getStreamBegan().getStream()),
              e.getStreamBegan().getEngineVersion());
      case ORIGIN_REQUEST ->
          new StreamMessage.OriginRequest(
              PeerCodec.fingerprintFromBytes(e.getOriginRequest().getStream()),
              new ModelId(e.getOriginRequest().getModel()));
      case ORIGIN_RESPONSE -> {
        PeerProto.OriginResponse m = e.getOriginResponse();
        yield new StreamMessage.OriginResponse(
            PeerCodec.fingerprintFromBytes(m.getStream()),
            m.hasEngineVersion() ? m.getEngineVersion() : null,
            m.getSeveralVersions());
      }
      default -> throw PeerCodec.unexpectedBody(e);
    };
  }
}
