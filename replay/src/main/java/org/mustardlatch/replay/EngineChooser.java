package org.mustardlatch.replay;

import java.util.List;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.manifest.Upstream;

/** How a baseline chooses one of several engines. */
@FunctionalInterface
interface EngineChooser {
  /**
   * Returns one of the candidates.
   *
   * @param candidates at least one
   * @param load what the node believes of an engine's load
   */
  Upstream choose(List<Upstream> candidates, ToLongFunction<Upstream> load);

  /** Takes the engines in turn, without regard to load. */
  static EngineChooser roundRobin(RandomGenerator random) {
    int[] turn = {random.nextInt(1000)};
    return (candidates, load) -> candidates.get(turn[0]++ % candidates.size());
  }

  /** Takes the engine with the least load, one at random among equals. */
  static EngineChooser leastLoad(RandomGenerator random) {
    return (candidates, load) -> {
      long least = candidates.stream().mapToLong(load).min().orElseThrow();
      List<Upstream> best = candidates.stream().filter(u -> load.applyAsLong(u) == least).toList();
      return best.get(random.nextInt(best.size()));
    };
  }

  /** Takes the less loaded of two different engines drawn at random. */
  static EngineChooser twoChoice(RandomGenerator random) {
    return (candidates, load) -> {
      int first = random.nextInt(candidates.size());
      if (candidates.size() == 1) {
        return candidates.get(first);
      }
      int second = (first + 1 + random.nextInt(candidates.size() - 1)) % candidates.size();
      Upstream a = candidates.get(first);
      Upstream b = candidates.get(second);
      return load.applyAsLong(b) < load.applyAsLong(a) ? b : a;
    };
  }
}
