package org.mustardlatch.gateway.config;

import java.time.Duration;

/**
 * The configured properties of the engines of a service.
 *
 * @param slots number of requests that an engine processes concurrently
 * @param kvCapacityTokens number of tokens that fit into the KV cache memory of an engine
 * @param kvBytesPerToken size of the KV cache of one token, in bytes
 * @param kvHandleTtl time for which an engine retains an exported KV cache
 * @param maxReservationTtl maximum time for which an engine keeps KV memory reserved for a request
 *     that has not arrived; zero if it does not support reservations
 */
public record EngineSpec(
    int slots,
    int kvCapacityTokens,
    long kvBytesPerToken,
    Duration kvHandleTtl,
    Duration maxReservationTtl) {}
