package org.mustardlatch.gateway;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.balancing.UpstreamLoad;

/**
 * The data that routing needs from the headers of an upstream's response.
 *
 * @param requestId id of the request that the response belongs to; null if not stated
 * @param notExecuted whether the upstream states that it did not execute the request
 * @param hasUpstreamStamp whether the response carries the stamp that upstreams add to theirs
 * @param load the upstream's load; null if not stated
 * @param leaving whether the upstream states that it is leaving
 */
public record ResponseMetadata(
    @Nullable String requestId,
    boolean notExecuted,
    boolean hasUpstreamStamp,
    @Nullable UpstreamLoad load,
    boolean leaving) {}
