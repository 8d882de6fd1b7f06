package org.mustardlatch.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mustardlatch.core.model.RegionId;

/**
 * Which regions are silent as a whole. A region whose every neighbour of this node is silent is
 * unreachable; after 60 s its nodes count as gone, without being declared dead, so that no rumors
 * are needed when it can be heard again.
 */
final class RegionWatch {
  private final Map<RegionId, Long> silentSince = new HashMap<>();

  /** A frame arrived from a region; returns whether the region was unreachable. */
  boolean heard(RegionId region) {
    return silentSince.remove(region) != null;
  }

  /** All neighbours in a region are silent. */
  void silent(RegionId region, long now) {
    silentSince.putIfAbsent(region, now);
  }

  boolean unreachable(RegionId region) {
    return silentSince.containsKey(region);
  }

  /** Returns whether the region has been unreachable for so long that its nodes count as gone. */
  boolean lost(RegionId region, long now) {
    return silentFor(region, now) > MembershipTimes.UNREACHABLE_HOLD;
  }

  /** Returns whether the region has been unreachable for so long that its nodes are forgotten. */
  boolean purged(RegionId region, long now) {
    return silentFor(region, now) > MembershipTimes.LOST_PURGE;
  }

  boolean allReachable() {
    return silentSince.isEmpty();
  }

  Set<RegionId> unreachable() {
    return new HashSet<>(silentSince.keySet());
  }

  private long silentFor(RegionId region, long now) {
    Long since = silentSince.get(region);
    return since == null ? 0 : now - since;
  }
}
