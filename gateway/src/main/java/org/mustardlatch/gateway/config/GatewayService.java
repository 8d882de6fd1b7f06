package org.mustardlatch.gateway.config;

import org.jspecify.annotations.Nullable;

/**
 * A service to which routes send requests.
 *
 * @param name name of the service
 * @param engine properties of its engines; null for an application service without engines
 */
public record GatewayService(String name, @Nullable EngineSpec engine) {}
