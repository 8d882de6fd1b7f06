package org.mustardlatch.core.routing;

/**
 * The load that an engine reports. It lags behind the actual load.
 *
 * @param runningRequests requests that occupy a slot
 * @param queuedRequests requests that wait in the engine
 * @param freeMemoryPieces free KV memory in pieces of the size that the model states, by default
 *     1,000 tokens
 * @param leaving whether the engine reports that it is leaving
 */
public record LoadReport(
    int runningRequests, int queuedRequests, int freeMemoryPieces, boolean leaving) {}
