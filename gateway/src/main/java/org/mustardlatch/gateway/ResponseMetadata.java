package org.mustardlatch.gateway;

import java.time.Duration;
import java.util.OptionalDouble;
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
 * @param pause time for which the upstream, which refused the request, wants no more from this
 *     node; null if not stated
 * @param requestsPerSecond requests that the upstream takes from all nodes together; empty if it
 *     states no limit
 */
public record ResponseMetadata(
    @Nullable String requestId,
    boolean notExecuted,
    boolean hasUpstreamStamp,
    @Nullable UpstreamLoad load,
    boolean leaving,
    @Nullable Duration pause,
    OptionalDouble requestsPerSecond) {}
