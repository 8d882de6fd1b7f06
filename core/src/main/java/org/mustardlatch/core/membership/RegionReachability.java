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
final class RegionReachability {
  private final Map<RegionId, Long> unreachableSince = new HashMap<>();

  /** A frame arrived from a region; returns whether the region was unreachable. */
  boolean markReachable(RegionId region) {
    return unreachableSince.remove(region) != null;
  }

  /** All neighbours in a region are silent. */
  void markUnreachable(RegionId region, long now) {
    unreachableSince.putIfAbsent(region, now);
  }

  boolean isUnreachable(RegionId region) {
    return unreachableSince.containsKey(region);
  }

  /** Returns whether the region has been unreachable for so long that its nodes count as gone. */
  boolean isExcluded(RegionId region, long now) {
    return unreachableNanos(region, now) > MembershipConstants.UNREACHABLE_GRACE_PERIOD;
  }

  /** Returns whether the region has been unreachable for so long that its nodes are forgotten. */
  boolean isPurgeDue(RegionId region, long now) {
    return unreachableNanos(region, now) > MembershipConstants.UNREACHABLE_PURGE_DELAY;
  }

  boolean allReachable() {
    return unreachableSince.isEmpty();
  }

  Set<RegionId> unreachableRegions() {
    return new HashSet<>(unreachableSince.keySet());
  }

  private long unreachableNanos(RegionId region, long now) {
    Long since = unreachableSince.get(region);
    return since == null ? 0 : now - since;
  }
}
