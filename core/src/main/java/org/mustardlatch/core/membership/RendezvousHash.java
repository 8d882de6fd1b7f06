package org.mustardlatch.core.membership;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.mustardlatch.core.model.HostId;

/** Rendezvous hashing: every node ranks the hosts for a key in the same order. */
public final class RendezvousHash {
  private static final HashFunction HASH = Hashing.farmHashFingerprint64();

  private RendezvousHash() {}

  /**
   * Returns the first {@code count} hosts in rank order for the key, its owner first; fewer if
   * there are fewer hosts.
   */
  public static List<HostId> rank(String key, Collection<HostId> hosts, int count) {
    long k = hash(key);
    return hosts.stream()
        .map(h -> new ScoredHost(h, score(k, hash(h.value()))))
        .sorted(Comparator.naturalOrder())
        .limit(count)
        .map(ScoredHost::host)
        .toList();
  }

  /** Returns the owner of the key, or empty if there are no hosts. */
  public static Optional<HostId> owner(String key, Collection<HostId> hosts) {
    return rank(key, hosts, 1).stream().findFirst();
  }

  static long hash(String name) {
    return HASH.hashString(name, StandardCharsets.UTF_8).asLong();
  }

  static long score(long key, long host) {
    byte[] pair = new byte[2 * Long.BYTES];
    for (int i = 0; i < Long.BYTES; i++) {
      pair[i] = (byte) (key >>> (Byte.SIZE * i));
      pair[Long.BYTES + i] = (byte) (host >>> (Byte.SIZE * i));
    }
    return HASH.hashBytes(pair).asLong();
  }

  /** A host with its score for some key; the highest score comes first. */
  record ScoredHost(HostId host, long score) implements Comparable<ScoredHost> {
    @Override
    public int compareTo(ScoredHost other) {
      int byScore = Long.compare(other.score, score);
      return byScore != 0 ? byScore : host.compareTo(other.host);
    }
  }
}
