package org.mustardlatch.gateway.node;

import java.net.InetSocketAddress;
import org.mustardlatch.gateway.GatewaySettings;
import org.mustardlatch.gateway.PlatformProtocol;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.store.StoreCodec;

/**
 * The settings, protocol and store access that a platform provides to a node.
 *
 * @param settings settings of this node, read at its start
 * @param store address of the platform's store
 * @param protocol reads and writes the HTTP headers and bodies that the platform defines
 * @param configuration codec of the stored configuration
 * @param instances codec of the entries by which upstreams register
 */
public record PlatformComponents(
    GatewaySettings settings,
    InetSocketAddress store,
    PlatformProtocol protocol,
    StoreCodec<GatewayConfiguration> configuration,
    StoreCodec<Instance> instances) {}
