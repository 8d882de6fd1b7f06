package org.mustardlatch.core.routing;

import java.util.List;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.PeerMessage;

/** Something that happened and that the routing decisions of a node must hear about. */
public sealed interface RoutingEvent {
  /** A caller sent a generation request to this node. */
  record RequestArrived(GenerationRequest request) implements RoutingEvent {}

  /** The caller of a request is gone. */
  record CallerGone(RequestId request) implements RoutingEvent {}

  /** The decode engine reserved a slot and memory for an attempt. */
  record EngineReserved(AttemptId attempt) implements RoutingEvent {}

  /** The decode engine did not reserve anything for an attempt. */
  record EngineNotReserved(AttemptId attempt, Failure failure) implements RoutingEvent {}

  /** A prefill ended and its KV cache can be fetched. */
  record PrefillFinished(AttemptId attempt, KvHandle handle) implements RoutingEvent {}

  /** A prefill failed. */
  record PrefillFailed(AttemptId attempt, Failure failure) implements RoutingEvent {}

  /** The decode engine has the KV cache and holds a slot for the attempt. */
  record DecodeStarted(AttemptId attempt) implements RoutingEvent {}

  /** Tokens arrived from the decode engine and were passed to the caller. */
  record TokensArrived(AttemptId attempt, int count) implements RoutingEvent {}

  /** The decode engine sent the last token. */
  record DecodeFinished(AttemptId attempt) implements RoutingEvent {}

  /** A decode failed. */
  record DecodeFailed(AttemptId attempt, Failure failure) implements RoutingEvent {}

  /** An engine reported its load. */
  record LoadReported(UpstreamId upstream, LoadReport report) implements RoutingEvent {}

  /** An engine listed the attempts that it holds. */
  record HeldAttemptsListed(UpstreamId upstream, List<ReportedAttempt> attempts)
      implements RoutingEvent {
    /** Copies the list. */
    public HeldAttemptsListed {
      attempts = List.copyOf(attempts);
    }
  }

  /** A message from another node arrived. */
  record PeerReceived(HostId from, PeerMessage message) implements RoutingEvent {}

  /** A manifest came into force. */
  record ManifestApplied(long revision, Manifest manifest) implements RoutingEvent {}

  /** The set of live nodes changed. */
  record MembersChanged(List<Member> members) implements RoutingEvent {
    /** Copies the list. */
    public MembersChanged {
      members = List.copyOf(members);
    }
  }

  /** An upstream must get no new work. */
  record UpstreamLeaving(UpstreamId upstream) implements RoutingEvent {}

  /** A timer that was set by {@link RoutingCommand.SetTimer} fired. */
  record TimerFired(TimerKey key) implements RoutingEvent {}

  /** This node must take no new requests and finish those that it has. */
  record DrainRequested() implements RoutingEvent {}
}
