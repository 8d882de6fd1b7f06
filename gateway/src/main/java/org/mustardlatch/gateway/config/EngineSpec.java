package org.mustardlatch.gateway.config;

import java.time.Duration;

/**
 * What the configuration says of the engines of a service.
 *
 * @param slots requests that an engine works on at a time
 * @param kvCapacityTokens tokens that fit into the KV memory of an engine
 * @param kvBytesPerToken size of the KV cache of a token, bytes
 * @param kvHandleTtl how long an exported KV cache is kept
 * @param maxReservationTtl how long an engine keeps room for a request that has not come; zero
 *     when it takes no reservations
 */
public record EngineSpec(
    int slots,
    int kvCapacityTokens,
    long kvBytesPerToken,
    Duration kvHandleTtl,
    Duration maxReservationTtl) {}
