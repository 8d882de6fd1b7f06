package org.mustardlatch.core.routing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.mustardlatch.core.budget.Allowance;
import org.mustardlatch.core.budget.QuotaBounds;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.PeerMessage;

/** An event that a {@link RoutingPolicy} handles. */
public sealed interface RoutingEvent {
  /** A caller sent a generation request to this node. */
  record RequestArrived(GenerationRequest request) implements RoutingEvent {}

  /** The caller of a request disconnected. */
  record CallerDisconnected(RequestId request) implements RoutingEvent {}

  /** The decode engine reserved a slot and memory for an attempt. */
  record EngineReserved(AttemptId attempt) implements RoutingEvent {}

  /** The decode engine refused or failed to reserve a slot and memory for an attempt. */
  record EngineReservationFailed(AttemptId attempt, Failure failure) implements RoutingEvent {}

  /** A prefill completed and its KV cache can be fetched. */
  record PrefillFinished(AttemptId attempt, KvHandle handle) implements RoutingEvent {}

  /** A prefill failed. */
  record PrefillFailed(AttemptId attempt, Failure failure) implements RoutingEvent {}

  /** The decode engine has fetched the KV cache and occupies a slot for the attempt. */
  record DecodeStarted(AttemptId attempt) implements RoutingEvent {}

  /** Tokens arrived from the decode engine and were passed to the caller. */
  record TokensArrived(AttemptId attempt, int count) implements RoutingEvent {}

  /** The decode engine sent the last token. */
  record DecodeFinished(AttemptId attempt) implements RoutingEvent {}

  /** A decode failed. */
  record DecodeFailed(AttemptId attempt, Failure failure) implements RoutingEvent {}

  /**
   * An application request is about to be sent to an upstream. Answered by {@link
   * RoutingCommand.DecideApplicationRun}.
   *
   * @param service service that the request is for; its suspects run one at a time
   * @param waitUntilNanos monotonic time until which the request may wait for others to end
   */
  record ApplicationRunRequested(
      RequestId request, Fingerprint fingerprint, String service, long waitUntilNanos)
      implements RoutingEvent {}

  /**
   * An application request that waited for the answer to {@link ApplicationRunRequested}, or ran as
   * a suspect, has ended without a crash and without a response.
   *
   * @param abandoned whether an upstream had the request, and may still run it
   */
  record ApplicationRunEnded(
      RequestId request, Fingerprint fingerprint, String service, boolean abandoned)
      implements RoutingEvent {}

  /** An upstream responded to an application request that ran as a suspect. */
  record ApplicationRunCompleted(RequestId request, Fingerprint fingerprint, String service)
      implements RoutingEvent {}

  /**
   * An upstream crashed.
   *
   * @param processId identifier of its process as far as this node knows, the same on all nodes; an
   *     upstream may restart under the identifier that it had
   * @param running the requests of this node that were running on the upstream
   * @param lastSentNanos monotonic time at which the last of these requests was sent
   * @param abandonedPrompts the prompts of those that had been given up; the failure of the others'
   *     calls is reported by events of their own
   */
  record UpstreamCrashed(
      UpstreamId upstream,
      String processId,
      List<Fingerprint> running,
      long lastSentNanos,
      List<AbandonedPrompt> abandonedPrompts)
      implements RoutingEvent {
    /** Copies the lists. */
    public UpstreamCrashed {
      running = List.copyOf(running);
      abandonedPrompts = List.copyOf(abandonedPrompts);
    }
  }

  /**
   * The prompt of a request that was given up before an engine had completed it.
   *
   * @param sharedParts the parts that other prompts may have too
   * @param sentNanos monotonic time at which it was sent to the engine
   */
  record AbandonedPrompt(List<Fingerprint> sharedParts, long sentNanos) {
    /** Copies the list. */
    public AbandonedPrompt {
      sharedParts = List.copyOf(sharedParts);
    }
  }

  /** An engine reported its load. */
  record LoadReported(UpstreamId upstream, LoadReport report) implements RoutingEvent {}

  /** An engine listed the attempts that it has work or a KV cache for. */
  record AttemptsListed(UpstreamId upstream, List<ReportedAttempt> attempts)
      implements RoutingEvent {
    /** Copies the list. */
    public AttemptsListed {
      attempts = List.copyOf(attempts);
    }
  }

  /** A message from another node arrived. */
  record PeerMessageReceived(HostId from, PeerMessage message) implements RoutingEvent {}

  /** A manifest became active. */
  record ManifestApplied(long revision, Manifest manifest) implements RoutingEvent {}

  /** The set of live nodes changed. */
  record MembersChanged(List<Member> members) implements RoutingEvent {
    /** Copies the list. */
    public MembersChanged {
      members = List.copyOf(members);
    }
  }

  /** An upstream is leaving (draining) and must not receive new work. */
  record UpstreamLeaving(UpstreamId upstream) implements RoutingEvent {}

  /** An upstream refused a request of this node and wants no more from it for some time. */
  record UpstreamPaused(UpstreamId upstream, Duration duration) implements RoutingEvent {}

  /**
   * An upstream stated in an answer to this node how many requests it takes from all nodes
   * together.
   *
   * @param requestsPerSecond the limit, at least 0; empty if it states none
   */
  record UpstreamLimitStated(UpstreamId upstream, OptionalDouble requestsPerSecond)
      implements RoutingEvent {}

  /**
   * An application request is about to be sent while upstreams state limits. Answered by {@link
   * RoutingCommand.DecideApplicationStart}.
   *
   * @param candidates upstreams that it may be sent to, the most preferred one first
   */
  record ApplicationStartRequested(RequestId request, List<UpstreamId> candidates)
      implements RoutingEvent {
    /** Copies the list. */
    public ApplicationStartRequested {
      candidates = List.copyOf(candidates);
    }
  }

  /**
   * The configuration with these allowances came into force; they replace the earlier ones.
   *
   * @param allowances allowances by the name of their workspace
   * @param bounds how far requests may exceed them
   */
  record AllowancesApplied(Map<String, Allowance> allowances, QuotaBounds bounds)
      implements RoutingEvent {
    /** Copies the map. */
    public AllowancesApplied {
      allowances = Map.copyOf(allowances);
    }
  }

  /**
   * A request must be paid from the allowance of its workspace before anything else is done for it.
   * Answered by {@link RoutingCommand.DecideSpend} within about 300 ms.
   *
   * @param units cost of the request, at least 0
   */
  record SpendRequested(RequestId request, String workspace, double units)
      implements RoutingEvent {}

  /** A request that was paid for ended without having reached an upstream. */
  record SpendReturned(String workspace, double units) implements RoutingEvent {}

  /** A timer that was set by {@link RoutingCommand.SetTimer} fired. */
  record TimerFired(TimerKey key) implements RoutingEvent {}

  /** This node must refuse new requests and complete those in progress. */
  record DrainRequested() implements RoutingEvent {}
}
