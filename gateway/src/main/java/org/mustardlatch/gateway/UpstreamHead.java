package org.mustardlatch.gateway;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.balancing.UpstreamLoad;

/**
 * What the headers of an upstream's answer say.
 *
 * @param requestId the request that it answers; null when it does not say
 * @param notRun whether the upstream states that it did not run the request
 * @param genuine whether the answer bears the mark of an upstream
 * @param load the upstream's load; null when it does not say
 */
public record UpstreamHead(
    @Nullable String requestId, boolean notRun, boolean genuine, @Nullable UpstreamLoad load) {}
