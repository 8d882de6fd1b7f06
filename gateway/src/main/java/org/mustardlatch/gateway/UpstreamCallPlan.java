package org.mustardlatch.gateway;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.gateway.config.Instance;

/**
 * The routing information that is added to a request to an upstream.
 *
 * @param target the upstream that must respond
 * @param remainingMillis time left for the response, milliseconds, at least 1
 * @param work the work that the upstream is to do
 * @param resumeAfterEventId id of the last event that the caller received; null to start at the
 *     beginning
 * @param reservationId the engine's id of the reservation for this request; null for none
 * @param identity identity of the caller for the upstream; null if the configuration has no
 *     workspaces
 */
public record UpstreamCallPlan(
    Instance target,
    long remainingMillis,
    Work work,
    @Nullable String resumeAfterEventId,
    @Nullable String reservationId,
    @Nullable CallerIdentity identity) {
  /** The part of a request that one upstream processes. */
  public sealed interface Work {
    /** The complete request: an application request, or a prefill and its decode. */
    record Whole() implements Work {}

    /** The prefill only, which computes the KV cache of the prompt. */
    record Prefill() implements Work {}

    /**
     * The decode only, from a KV cache that another engine retains.
     *
     * @param source the engine that retains the KV cache
     * @param reference that engine's id of the KV cache
     */
    record Decode(Instance source, String reference) implements Work {}
  }

  /** The complete request. */
  public static final Work WHOLE = new Work.Whole();

  /** The prefill only. */
  public static final Work PREFILL = new Work.Prefill();
}
