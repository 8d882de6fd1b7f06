package org.mustardlatch.core.balancing;

/**
 * The load that an application upstream states in an answer.
 *
 * @param running requests that it works on
 * @param waiting requests in its queue
 * @param slots requests that it works on at a time
 * @param slowdownFactor how long work takes there at this moment, 1 as usual
 */
public record UpstreamLoad(int running, int waiting, int slots, double slowdownFactor) {}
