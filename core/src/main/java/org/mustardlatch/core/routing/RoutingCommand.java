package org.mustardlatch.core.routing;

import java.time.Duration;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.PeerMessage;

/** Something that the routing decisions of a node want done. */
public sealed interface RoutingCommand {
  /**
   * Reserve a slot and KV memory at the engine that is to decode, before a prefill is spent.
   *
   * @param tokens KV memory to reserve, tokens
   */
  record ReserveEngine(AttemptId attempt, UpstreamId upstream, int tokens)
      implements RoutingCommand {}

  /** Start the prefill of an attempt. */
  record StartPrefill(AttemptId attempt, UpstreamId upstream) implements RoutingCommand {}

  /**
   * Start the decode of an attempt.
   *
   * @param resumeFrom tokens that the caller already has; the engine continues after them
   */
  record StartDecode(AttemptId attempt, UpstreamId upstream, KvHandle handle, int resumeFrom)
      implements RoutingCommand {}

  /** Cancel an attempt on an upstream until the upstream acknowledges it. */
  record CancelAttempt(AttemptId attempt, UpstreamId upstream) implements RoutingCommand {}

  /** Cancel what an engine holds for a node that is gone. */
  record CancelHeld(ReportedAttempt held, UpstreamId upstream) implements RoutingCommand {}

  /** Tell a prefill engine that its KV cache is not needed any more. */
  record ReleaseKv(KvHandle handle) implements RoutingCommand {}

  /** Send a message to another node. */
  record SendPeer(HostId to, PeerMessage message) implements RoutingCommand {}

  /**
   * Give the caller its final answer: an error.
   *
   * @param retryAfter when to come back; zero when coming back is of no use
   */
  record Refuse(RequestId request, ErrorCode code, String detail, Duration retryAfter)
      implements RoutingCommand {}

  /** Give the caller the end of its stream. */
  record Complete(RequestId request) implements RoutingCommand {}

  /** Send {@link RoutingEvent.TimerFired} at a monotonic time. */
  record SetTimer(TimerKey key, long atNanos) implements RoutingCommand {}

  /** Withdraw a timer. */
  record CancelTimer(TimerKey key) implements RoutingCommand {}

  /**
   * Record why something was decided.
   *
   * @param rule stable name of the rule
   * @param detail the figures that it used
   */
  record Explain(RequestId request, String rule, String detail) implements RoutingCommand {}
}
