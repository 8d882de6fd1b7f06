package org.mustardlatch.core.routing;

/**
 * The load that an engine reports about itself. Lags behind the truth.
 *
 * @param runningRequests requests that hold a slot
 * @param queuedRequests requests that wait in the engine
 * @param freeMemoryPieces free KV memory in pieces of 1,000 tokens
 * @param leaving whether the engine says that it is leaving
 */
public record LoadReport(
    int runningRequests, int queuedRequests, int freeMemoryPieces, boolean leaving) {}
