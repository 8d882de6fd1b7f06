package org.mustardlatch.core.orders;

import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.model.UpstreamId;

/**
 * State that an engine reports.
 *
 * @param engine the engine
 * @param role current role
 * @param weights name of the weights that the engine serves
 * @param loading whether the engine is loading weights
 * @param openRequests number of requests that the engine has accepted and not ended; 0 when it is
 *     drained
 * @param freeSlots number of slots without a request
 */
public record ReportedEngineState(
    UpstreamId engine,
    UpstreamRole role,
    String weights,
    boolean loading,
    int openRequests,
    int freeSlots) {}
