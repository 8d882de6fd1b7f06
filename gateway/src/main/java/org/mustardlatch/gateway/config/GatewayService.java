package org.mustardlatch.gateway.config;

import org.jspecify.annotations.Nullable;

/**
 * A service that routes lead to.
 *
 * @param name name of the service
 * @param engine what its engines are; null for a plain application service
 */
public record GatewayService(String name, @Nullable EngineSpec engine) {}
