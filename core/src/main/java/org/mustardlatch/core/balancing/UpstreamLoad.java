package org.mustardlatch.core.balancing;

/**
 * Load that an application upstream reports in a response.
 *
 * @param running requests in progress
 * @param waiting requests in its queue
 * @param slots requests that it processes concurrently
 * @param slowdownFactor current service time relative to the usual one; 1 means no slowdown
 */
public record UpstreamLoad(int running, int waiting, int slots, double slowdownFactor) {}
