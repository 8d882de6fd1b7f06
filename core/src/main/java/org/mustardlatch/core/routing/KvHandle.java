package org.mustardlatch.core.routing;

import org.mustardlatch.core.model.UpstreamId;

/**
 * A KV cache that a prefill engine holds for a decode engine to fetch.
 *
 * @param source the prefill engine
 * @param reference the engine's name for it
 * @param bytes its size, bytes
 * @param expiresNanos monotonic time of this node at which the engine drops it
 */
public record KvHandle(UpstreamId source, String reference, long bytes, long expiresNanos) {}
