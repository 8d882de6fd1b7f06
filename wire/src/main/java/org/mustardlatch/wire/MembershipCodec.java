package org.mustardlatch.wire;

import java.util.List;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.core.peer.MembershipMessage;
import org.mustardlatch.wire.generated.PeerProto;
import org.mustardlatch.wire.generated.PeerProto.Envelope;
import org.mustardlatch.wire.generated.PeerProto.NodeState;

/** Converts membership messages to and from the body of an envelope. */
final class MembershipCodec {
  private MembershipCodec() {}

  static void encode(MembershipMessage message, Envelope.Builder out) {
    switch (message) {
      case MembershipMessage.Heartbeat m ->
          out.getHeartbeatBuilder()
              .setSequence(m.sequence())
              .setConfigRevision(m.configRevision())
              .addAllRumors(encodeRumors(m.rumors()));
      case MembershipMessage.HeartbeatAck m ->
          out.getHeartbeatAckBuilder()
              .setSequence(m.sequence())
              .setConfigRevision(m.configRevision())
              .addAllRumors(encodeRumors(m.rumors()));
      case MembershipMessage.Join m -> out.getJoinBuilder().setSelf(rumor(m.self()));
      case MembershipMessage.View m ->
          out.getViewBuilder()
              .addAllRumors(encodeRumors(m.rumors()))
              .setReplyWanted(m.replyRequested());
      case MembershipMessage.Suspicion m ->
          out.getSuspicionBuilder()
              .setHost(m.host().value())
              .setIncarnation(m.incarnation())
              .setCounter(m.refutationCounter());
      case MembershipMessage.Sync m -> out.getSyncBuilder().setDigest(m.digest());
    }
  }

  static MembershipMessage decode(Envelope e) {
    return switch (e.getBodyCase()) {
      case HEARTBEAT -> {
        PeerProto.Heartbeat m = e.getHeartbeat();
        yield new MembershipMessage.Heartbeat(
            m.getSequence(), m.getConfigRevision(), decodeRumors(m.getRumorsList()));
      }
      case HEARTBEAT_ACK -> {
        PeerProto.HeartbeatAck m = e.getHeartbeatAck();
        yield new MembershipMessage.HeartbeatAck(
            m.getSequence(), m.getConfigRevision(), decodeRumors(m.getRumorsList()));
      }
      case JOIN -> new MembershipMessage.Join(rumor(e.getJoin().getSelf()));
      case VIEW ->
          new MembershipMessage.View(
              decodeRumors(e.getView().getRumorsList()), e.getView().getReplyWanted());
      case SUSPICION -> {
        PeerProto.Suspicion m = e.getSuspicion();
        yield new MembershipMessage.Suspicion(
            new HostId(m.getHost()), m.getIncarnation(), m.getCounter());
      }
      case SYNC -> new MembershipMessage.Sync(e.getSync().getDigest());
      default -> throw PeerCodec.unexpectedBody(e);
    };
  }

  private static List<PeerProto.Rumor> encodeRumors(List<MembershipMessage.Rumor> rumors) {
    return rumors.stream().map(MembershipCodec::rumor).toList();
  }

  private static PeerProto.Rumor rumor(MembershipMessage.Rumor r) {
    return PeerProto.Rumor.newBuilder()
        .setHost(r.host().value())
        .setRegion(r.region().value())
        .setZone(r.zone().value())
        .setAddress(r.address())
        .setIncarnation(r.incarnation())
        .setCounter(r.refutationCounter())
        .setState(state(r.state()))
        .build();
  }

  private static List<MembershipMessage.Rumor> decodeRumors(List<PeerProto.Rumor> rumors) {
    return rumors.stream().map(MembershipCodec::rumor).toList();
  }

  private static MembershipMessage.Rumor rumor(PeerProto.Rumor r) {
    return new MembershipMessage.Rumor(
        new HostId(r.getHost()),
        new RegionId(r.getRegion()),
        new ZoneId(r.getZone()),
        r.getAddress(),
        r.getIncarnation(),
        r.getCounter(),
        state(r.getState()));
  }

  private static NodeState state(MembershipMessage.State state) {
    return switch (state) {
      case ALIVE -> NodeState.NODE_ALIVE;
      case SUSPECT -> NodeState.NODE_SUSPECT;
      case DEAD -> NodeState.NODE_DEAD;
      case LEFT -> NodeState.NODE_LEFT;
    };
  }

  private static MembershipMessage.State state(NodeState state) {
    return switch (state) {
      case NODE_ALIVE -> MembershipMessage.State.ALIVE;
      case NODE_SUSPECT -> MembershipMessage.State.SUSPECT;
      case NODE_DEAD -> MembershipMessage.State.DEAD;
      case NODE_LEFT -> MembershipMessage.State.LEFT;
      case NODE_STATE_UNSPECIFIED, UNRECOGNIZED -> throw PeerCodec.invalidEnum("state", state);
    };
  }
}
