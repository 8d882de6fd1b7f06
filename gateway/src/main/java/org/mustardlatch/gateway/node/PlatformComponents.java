package org.mustardlatch.gateway.node;

import java.net.InetSocketAddress;
import org.mustardlatch.gateway.GatewaySettings;
import org.mustardlatch.gateway.PlatformProtocol;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.store.StoreCodec;

/**
 * What a node needs of its platform.
 *
 * @param settings what this node is told at its start
 * @param store where the platform's store listens
 * @param protocol the headers of callers and upstreams
 * @param configuration how the configuration is stored
 * @param instances how upstreams register
 */
public record PlatformComponents(
    GatewaySettings settings,
    InetSocketAddress store,
    PlatformProtocol protocol,
    StoreCodec<GatewayConfiguration> configuration,
    StoreCodec<Instance> instances) {}
