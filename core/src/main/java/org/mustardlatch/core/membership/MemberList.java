package org.mustardlatch.core.membership;

import java.util.List;
import java.util.Set;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.routing.Member;

/**
 * Live nodes of the fleet in the view of one node.
 *
 * @param members this node and all others that are not dead and have not left, sorted by host name;
 *     includes suspected nodes and, for the first 60 s, those of unreachable regions
 * @param unreachableRegions regions in which all neighbours of this node are silent
 */
public record MemberList(List<Member> members, Set<RegionId> unreachableRegions) {
  /** Copies the collections. */
  public MemberList {
    members = List.copyOf(members);
    unreachableRegions = Set.copyOf(unreachableRegions);
  }
}
