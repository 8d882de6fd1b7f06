package org.mustardlatch.core.ledger;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
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
    Comparator<Member> near =
        Comparator.comparing(m -> storeRegion.isPresent() && m.region().equals(storeRegion.get()));
    return live.stream()
        .max(near.thenComparingLong(m -> weight(shard, m.host())).thenComparing(Member::host))
        .map(Member::host);
  }

  private static long weight(int shard, HostId host) {
    return Hashing.sipHash24().hashString("ledger/" + shard + "/" + host, UTF_8).asLong();
  }
}
