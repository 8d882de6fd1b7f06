package org.mustardlatch.gateway;

import java.util.Map;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/** Estimates of the network round-trip time between this node and an availability zone. */
final class NetworkLatencyEstimates {
  // Typical round-trip times of data centers: within a building, between buildings of a region and
  // between cities.
  private static final long SAME_ZONE_NANOS = 400_000;
  private static final long SAME_REGION_NANOS = 2_000_000;
  private static final long OTHER_REGION_NANOS = 25_000_000;

  private final ZoneId zone;
  private final RegionId region;
  private final Map<ZoneId, RegionId> regions;

  NetworkLatencyEstimates(GatewaySettings settings) {
    this.zone = settings.zone();
    this.region = settings.region();
    this.regions = settings.regions();
  }

  /** Returns the estimated round-trip time to an availability zone, nanoseconds. */
  long roundTripNanos(ZoneId other) {
    if (other.equals(zone)) {
      return SAME_ZONE_NANOS;
    }
    return region.equals(regions.get(other)) ? SAME_REGION_NANOS : OTHER_REGION_NANOS;
  }
}
