package org.mustardlatch.core.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous (highest-random-weight) hashing: all nodes with the same set of candidates choose the
 * same one for a key.
 */
final class RendezvousHash {
  private static final HashFunction HASH = Hashing.murmur3_128();

  private RendezvousHash() {}

  /** Returns the weight of a name for a key. */
  static long weight(String key, String name) {
    return HASH.newHasher()
        .putUnencodedChars(key)
        .putChar('\n')
        .putUnencodedChars(name)
        .hash()
        .asLong();
  }

  /** Returns the candidates by descending weight for the key, and by name at equal weight. */
  static <T> List<T> order(String key, Iterable<T> candidates, Function<T, String> name) {
    record Weighed<T>(T value, String name, long weight) {}
    List<Weighed<T>> weighed = new ArrayList<>();
    for (T c : candidates) {
      String n = name.apply(c);
      weighed.add(new Weighed<>(c, n, weight(key, n)));
    }
    weighed.sort(
        Comparator.<Weighed<T>>comparingLong(Weighed::weight)
            .reversed()
            .thenComparing(Weighed::name));
    return weighed.stream().map(Weighed::value).toList();
  }

  /** Returns the index from 0 to {@code count - 1} with the highest weight for the key. */
  static int chooseIndex(String key, int count) {
    int best = 0;
    long bestWeight = Long.MIN_VALUE;
    for (int i = 0; i < count; i++) {
      long w = weight(key, Integer.toString(i));
      if (w > bestWeight) {
        bestWeight = w;
        best = i;
      }
    }
    return best;
  }
}
