package org.mustardlatch.core.ledger;

import java.util.List;
import java.util.Optional;
import org.mustardlatch.core.membership.RendezvousHash;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.routing.Member;

/**
 * Which node writes a shard. Ownership only makes group commit effective; nothing depends on nodes
 * agreeing about it.
 */
public final class ShardOwners {
  private ShardOwners() {}

  /**
   * Returns the owner by rendezvous hashing.
   *
   * @param live the live nodes
   * @param storeRegion region of the object service, whose nodes come first; empty when not known
   * @return the owner, or empty when there are no live nodes
   */
  public static Optional<HostId> owner(
      int shard, List<Member> live, Optional<RegionId> storeRegion) {
    List<HostId> near =
        live.stream()
            .filter(m -> storeRegion.isPresent() && m.region().equals(storeRegion.get()))
            .map(Member::host)
            .toList();
    List<HostId> candidates = near.isEmpty() ? live.stream().map(Member::host).toList() : near;
    return RendezvousHash.owner("ledger/" + LedgerKey.shardName(shard), candidates);
  }
}
