package org.mustardlatch.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/**
 * What a node of the data path is told at its start.
 *
 * @param host name of this node
 * @param zone its availability zone
 * @param regions the region of each availability zone
 * @param callerAddress where callers connect
 * @param readinessAddress where the load balancer asks for readiness
 * @param readinessPath the path that it asks for
 * @param metricsAddress where metrics are served; null for nowhere
 * @param peerAddress where this node listens for its peers; null for a node on its own
 * @param peerSeeds addresses of peers to join through
 * @param repeatRatio repeats that the fleet may send to a service, for each request to it
 * @param repeatExtra repeats beyond that in one window, for the whole fleet
 * @param grace time between a stop signal and the end of the process
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
    double repeatRatio,
    double repeatExtra,
    Duration grace) {
  /** Copies the map and checks that the zone has a region. */
  public GatewaySettings {
    regions = Map.copyOf(regions);
    peerSeeds = List.copyOf(peerSeeds);
    if (!regions.containsKey(zone)) {
      throw new IllegalArgumentException("no region is known for zone " + zone);
    }
  }

  /** Returns the region of this node. */
  public RegionId region() {
    RegionId region = regions.get(zone);
    if (region == null) {
      throw new IllegalStateException("no region is known for zone " + zone);
    }
    return region;
  }
}
