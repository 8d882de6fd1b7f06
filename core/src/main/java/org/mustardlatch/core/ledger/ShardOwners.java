package org.mustardlatch.core.ledger;

import java.util.List;
import java.util.Optional;
import org.mustardlatch.core.membership.RendezvousHash;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.routing.Member;

/**
 * Chooses the node that writes a shard. Ownership only makes group commit effective; correctness
 * does not depend on nodes choosing the same owner.
 */
public final class ShardOwners {
  private ShardOwners() {}

  /**
   * Returns the owner by rendezvous hashing.
   *
   * @param live the live nodes
   * @param storeRegion region of the object service, whose nodes are preferred; empty if unknown
   * @return the owner, or empty if there are no live nodes
   */
  public static Optional<HostId> owner(
      int shard, List<Member> live, Optional<RegionId> storeRegion) {
    List<HostId> inStoreRegion =
        live.stream()
            .filter(m -> storeRegion.isPresent() && m.region().equals(storeRegion.get()))
            .map(Member::host)
            .toList();
    List<HostId> candidates =
        inStoreRegion.isEmpty() ? live.stream().map(Member::host).toList() : inStoreRegion;
    return RendezvousHash.owner("ledger/" + LedgerKey.shardName(shard), candidates);
  }
}
