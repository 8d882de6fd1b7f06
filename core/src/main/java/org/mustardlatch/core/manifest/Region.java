package org.mustardlatch.core.manifest;

import java.util.List;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/**
 * A region and its availability zones.
 *
 * @param id name of the region
 * @param zones availability zones of the region, at least one
 */
public record Region(RegionId id, List<ZoneId> zones) {
  /** Makes a defensive copy of the list. */
  public Region {
    zones = List.copyOf(zones);
  }
}
