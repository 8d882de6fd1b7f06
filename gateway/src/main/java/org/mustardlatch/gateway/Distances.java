package org.mustardlatch.gateway;

import java.util.Map;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/** Estimated time there and back between this node and an availability zone. */
final class Distances {
  // Usual figures of data centers: within a building, between buildings, between cities.
  private static final long SAME_ZONE_NANOS = 400_000;
  private static final long SAME_REGION_NANOS = 2_000_000;
  private static final long OTHER_REGION_NANOS = 25_000_000;

  private final ZoneId zone;
  private final RegionId region;
  private final Map<ZoneId, RegionId> regions;

  Distances(GatewaySettings settings) {
    this.zone = settings.zone();
    this.region = settings.region();
    this.regions = settings.regions();
  }

  /** Returns nanoseconds there and back. */
  long nanosTo(String other) {
    ZoneId z = new ZoneId(other);
    if (z.equals(zone)) {
      return SAME_ZONE_NANOS;
    }
    return region.equals(regions.get(z)) ? SAME_REGION_NANOS : OTHER_REGION_NANOS;
  }
}
