package org.mustardlatch.core.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;

/**
 * Assigns the owners of allowances to the live nodes by rendezvous hashing: two owners are in
 * different regions if there are several, so that each node has one nearby. Computes the owners of
 * 480 allowances among 390 nodes with one multiplication for each pair, because every node does so
 * whenever the members change.
 */
final class AllowanceOwners {
  private static final HashFunction HASH = Hashing.murmur3_128();

  private record Node(Member member, long hash) {}

  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, List<Member>> ownersByName = new HashMap<>();

  AllowanceOwners(Topology topology) {
    topology.members().forEach(m -> nodes.add(new Node(m, hash(m.host().value()))));
  }

  /**
   * Returns the owners of an allowance; fewer than {@code count} if there are fewer nodes.
   *
   * @param count 1 or 2, the same in all calls for a name
   */
  List<Member> owners(String name, int count) {
    return ownersByName.computeIfAbsent(name, n -> choose(n, count));
  }

  /** Returns the owners of an allowance, those in the given region first. */
  List<HostId> ownersNearestFirst(String name, int count, RegionId region) {
    List<HostId> near = new ArrayList<>();
    List<HostId> far = new ArrayList<>();
    owners(name, count).forEach(m -> (m.region().equals(region) ? near : far).add(m.host()));
    near.addAll(far);
    return near;
  }

  private List<Member> choose(String name, int count) {
    long hash = hash(name);
    Member first = best(hash, null, false);
    if (first == null || count == 1) {
      return first == null ? List.of() : List.of(first);
    }
    Member second = best(hash, first, true);
    second = second == null ? best(hash, first, false) : second;
    return second == null ? List.of(first) : List.of(first, second);
  }

  private @Nullable Member best(long nameHash, @Nullable Member other, boolean otherRegion) {
    Node best = null;
    long bestWeight = Long.MIN_VALUE;
    for (Node n : nodes) {
      long weight = mix(nameHash ^ n.hash());
      boolean eligible =
          other == null
              || (!n.member().equals(other)
                  && !(otherRegion && n.member().region().equals(other.region())));
      if (eligible && (best == null || weight > bestWeight)) {
        best = n;
        bestWeight = weight;
      }
    }
    return best == null ? null : best.member();
  }

  private static long hash(String text) {
    return HASH.hashUnencodedChars(text).asLong();
  }

  /** Spreads all bits of a number; the finalizer of SplitMix64 (Steele, Lea and Flood, 2014). */
  private static long mix(long bits) {
    long z = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}
