package org.mustardlatch.core.rollout;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.routing.Member;

/**
 * Rule that decides when a published revision is accepted, that is, active on enough hosts that it
 * survives failures.
 */
final class AcceptanceRule {
  static final int MIN_HOSTS = 3;

  private AcceptanceRule() {}

  /**
   * Returns whether the revision or a later one is active on three reachable nodes on different
   * hosts (all, if fewer are reachable), among them one in each reachable region.
   *
   * @param revisions active revision by host, this node's included
   */
  static boolean isAccepted(long revision, MemberList list, Map<HostId, Long> revisions) {
    List<Member> reachable =
        list.members().stream()
            .filter(m -> !list.unreachableRegions().contains(m.region()))
            .toList();
    List<Member> holders =
        reachable.stream().filter(m -> revisions.getOrDefault(m.host(), 0L) >= revision).toList();
    return holders.size() >= Math.min(MIN_HOSTS, reachable.size())
        && regions(holders).containsAll(regions(reachable));
  }

  private static Set<RegionId> regions(Collection<Member> members) {
    return members.stream().map(Member::region).collect(Collectors.toCollection(HashSet::new));
  }
}
