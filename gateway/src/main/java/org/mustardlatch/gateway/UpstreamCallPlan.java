package org.mustardlatch.gateway;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.gateway.config.Instance;

/**
 * What the router adds to a request that it sends to an upstream.
 *
 * @param target the upstream that must answer
 * @param remainingMillis time left for the answer, milliseconds, at least 1
 * @param work what the upstream is to do
 * @param reservation the engine's name of the room that it keeps for this request; null for none
 * @param resumeAfter id of the last event that the caller has; null to start at the beginning
 */
public record UpstreamCallPlan(
    Instance target,
    long remainingMillis,
    Work work,
    @Nullable String resumeAfter,
    @Nullable String reservation) {
  /** What an upstream is asked for. */
  public sealed interface Work {
    /** The whole answer. */
    record Whole() implements Work {}

    /** The KV cache of the prompt. */
    record Prefill() implements Work {}

    /**
     * The answer, from a KV cache that another engine holds.
     *
     * @param source the engine that holds it
     * @param reference the engine's name for it
     */
    record Decode(Instance source, String reference) implements Work {}
  }

  /** The whole answer. */
  public static final Work WHOLE = new Work.Whole();

  /** The KV cache of the prompt. */
  public static final Work PREFILL = new Work.Prefill();
}
