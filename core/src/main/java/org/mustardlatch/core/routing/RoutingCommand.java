package org.mustardlatch.core.routing;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;
import org.mustardlatch.core.peer.PeerMessage;

/** An action that a {@link RoutingPolicy} requests from the node that runs it. */
public sealed interface RoutingCommand {
  /**
   * Reserve a slot and KV memory on the decode engine before the prefill is started.
   *
   * @param tokens number of tokens to reserve KV memory for
   */
  record ReserveEngine(AttemptId attempt, UpstreamId upstream, int tokens)
      implements RoutingCommand {}

  /** Start the prefill of an attempt. */
  record StartPrefill(AttemptId attempt, UpstreamId upstream) implements RoutingCommand {}

  /**
   * Start the decode of an attempt.
   *
   * @param resumeFrom number of tokens that the caller already has; the engine continues after them
   */
  record StartDecode(AttemptId attempt, UpstreamId upstream, KvHandle handle, int resumeFrom)
      implements RoutingCommand {}

  /** Cancel an attempt on an upstream; repeated until the upstream acknowledges it. */
  record CancelAttempt(AttemptId attempt, UpstreamId upstream) implements RoutingCommand {}

  /**
   * Cancel an attempt that an engine runs for a node incarnation that no longer exists, or that its
   * node no longer tracks.
   */
  record CancelOrphanedAttempt(ReportedAttempt attempt, UpstreamId upstream)
      implements RoutingCommand {}

  /** Release a KV cache that a prefill engine retains. */
  record ReleaseKv(KvHandle handle) implements RoutingCommand {}

  /** Send a message to another node. */
  record SendPeerMessage(HostId to, PeerMessage message) implements RoutingCommand {}

  /**
   * Send the caller an error as the final response.
   *
   * @param retryAfter duration after which the caller may retry; zero if a retry cannot succeed
   */
  record Refuse(RequestId request, ErrorCode code, String detail, Duration retryAfter)
      implements RoutingCommand {}

  /**
   * Send an application request, or refuse it.
   *
   * @param verdict {@link Verdict#WAIT} if the deadline passed while the same content was running
   * @param suspect whether the content was running on an upstream that crashed
   */
  record DecideApplicationRun(RequestId request, Verdict verdict, boolean suspect)
      implements RoutingCommand {}

  /**
   * Send an application request to an upstream.
   *
   * @param upstream null if all upstreams get as many requests as they take
   */
  record DecideApplicationStart(RequestId request, @Nullable UpstreamId upstream)
      implements RoutingCommand {}

  /**
   * Handle a request that its workspace has paid for, or refuse it.
   *
   * @param granted whether the workspace's allowance covers the request
   * @param retryAfter duration after which a refused caller may come back; zero if granted
   */
  record DecideSpend(RequestId request, boolean granted, Duration retryAfter)
      implements RoutingCommand {}

  /** End the caller's stream successfully. */
  record Complete(RequestId request) implements RoutingCommand {}

  /**
   * Deliver {@link RoutingEvent.TimerFired} at a monotonic time; replaces an earlier timer with the
   * same key.
   */
  record SetTimer(TimerKey key, long atNanos) implements RoutingCommand {}

  /** Cancel a timer. */
  record CancelTimer(TimerKey key) implements RoutingCommand {}

  /**
   * Record the reason for a decision.
   *
   * @param rule stable name of the rule
   * @param detail values that the rule used
   */
  record Explain(RequestId request, String rule, String detail) implements RoutingCommand {}
}
