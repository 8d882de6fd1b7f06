package org.mustardlatch.replay;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Makes the seeded generators of this module. */
final class Randoms {
  private Randoms() {}

  static RandomGenerator seeded(long seed) {
    return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }
}
