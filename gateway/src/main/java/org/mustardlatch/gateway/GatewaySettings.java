package org.mustardlatch.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.budget.QuotaBounds;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/**
 * The settings with which a node of the data path starts.
 *
 * @param host unique name of this node
 * @param zone availability zone of this node
 * @param regions the region of each availability zone
 * @param callerAddress address to listen on for callers
 * @param readinessAddress address to listen on for readiness checks of the load balancer
 * @param readinessPath URL path of the readiness check
 * @param metricsAddress address to serve metrics on; null to serve none
 * @param peerAddress address to listen on for peers; null for a standalone node
 * @param peerSeeds addresses of peers to contact for joining the fleet
 * @param retryBudgetRatio retries that the fleet may send to a service per request to it
 * @param retryBudgetExtra additional retries of the whole fleet in one window
 * @param maxHedgeShare largest number of second copies per request to a service that the operator
 *     accepts to cut slow responses, 0 to 1; empty for the default rule of the balancer
 * @param quotaBounds how far requests may exceed the allowances of workspaces
 * @param gracePeriod maximum time between a stop signal and the end of the process
 */
public record GatewaySettings(
    HostId host,
    ZoneId zone,
    Map<ZoneId, RegionId> regions,
    InetSocketAddress callerAddress,
    InetSocketAddress readinessAddress,
    String readinessPath,
    @Nullable InetSocketAddress metricsAddress,
    @Nullable InetSocketAddress peerAddress,
    List<String> peerSeeds,
    double retryBudgetRatio,
    double retryBudgetExtra,
    OptionalDouble maxHedgeShare,
    QuotaBounds quotaBounds,
    Duration gracePeriod) {
  /**
   * Creates settings with copies of the collections.
   *
   * @throws IllegalArgumentException if the zone of the node has no region
   */
  public GatewaySettings {
    regions = Map.copyOf(regions);
    peerSeeds = List.copyOf(peerSeeds);
    if (!regions.containsKey(zone)) {
      throw new IllegalArgumentException("no region is configured for zone " + zone);
    }
  }

  /** Returns the region of this node. */
  public RegionId region() {
    RegionId region = regions.get(zone);
    if (region == null) {
      throw new IllegalStateException("no region is configured for zone " + zone);
    }
    return region;
  }
}
