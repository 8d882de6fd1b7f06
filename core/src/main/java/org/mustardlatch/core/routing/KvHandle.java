package org.mustardlatch.core.routing;

import org.mustardlatch.core.model.UpstreamId;

/**
 * A KV cache that a prefill engine retains for a decode engine to fetch.
 *
 * @param source the prefill engine
 * @param reference identifies the KV cache on the prefill engine
 * @param bytes size of the KV cache, bytes
 * @param expiresNanos monotonic time of this node at which the engine drops the KV cache
 */
public record KvHandle(UpstreamId source, String reference, long bytes, long expiresNanos) {}
