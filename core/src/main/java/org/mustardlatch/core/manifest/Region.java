package org.mustardlatch.core.manifest;

import java.util.List;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/**
 * A region and its availability zones.
 *
 * @param id name of the region
 * @param zones its availability zones, at least one
 */
public record Region(RegionId id, List<ZoneId> zones) {
  /** Copies the list. */
  public Region {
    zones = List.copyOf(zones);
  }
}
