package org.mustardlatch.core.orders;

import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.model.UpstreamId;

/**
 * What an engine reports.
 *
 * @param engine the engine
 * @param role role that it has now
 * @param weights name of the weights that it serves
 * @param loading whether it is loading weights
 * @param heldRequests requests that it holds
 * @param freeSlots slots without a request
 */
public record EngineView(
    UpstreamId engine,
    UpstreamRole role,
    String weights,
    boolean loading,
    int heldRequests,
    int freeSlots) {}
