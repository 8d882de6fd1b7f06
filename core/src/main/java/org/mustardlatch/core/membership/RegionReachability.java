package org.mustardlatch.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mustardlatch.core.model.RegionId;

/**
 * Reachability of the other regions. A region is unreachable if all of this node's neighbours in it
 * are silent; after 60 s its nodes are excluded from the member list without being declared dead,
 * so that no rumors are needed when the region becomes reachable again.
 */
final class RegionReachability {
  private final Map<RegionId, Long> unreachableSince = new HashMap<>();

  /** Records a frame from a region; returns whether the region was unreachable before. */
  boolean markReachable(RegionId region) {
    return unreachableSince.remove(region) != null;
  }

  /** Records that all neighbours in a region are silent. */
  void markUnreachable(RegionId region, long now) {
    unreachableSince.putIfAbsent(region, now);
  }

  boolean isUnreachable(RegionId region) {
    return unreachableSince.containsKey(region);
  }

  /**
   * Returns whether the region has been unreachable for so long that its nodes are excluded from
   * the member list.
   */
  boolean isExcluded(RegionId region, long now) {
    return unreachableNanos(region, now) > MembershipConstants.UNREACHABLE_GRACE_PERIOD;
  }

  /**
   * Returns whether the region has been unreachable for so long that its nodes are to be declared
   * dead.
   */
  boolean isPresumedDead(RegionId region, long now) {
    return unreachableNanos(region, now) > MembershipConstants.UNREACHABLE_DEAD_AFTER;
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
