package org.mustardlatch.replay;

import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.routing.NodeRouter;

/** The policies that can be replayed, by name. */
public final class Policies {
  /** Names of the baselines. */
  public static final List<String> BASELINES =
      List.of("round-robin", "least-reported-load", "two-choice");

  /** Names of all policies, baselines first. */
  public static final List<String> NAMES =
      List.of("round-robin", "least-reported-load", "two-choice", "mustardlatch");

  private static final PolicyFactory OWN =
      (self, random) -> new NodeRouter(self.host(), self.region(), self.incarnation(), random);

  private Policies() {}

  /**
   * Returns the policy with this name: one of {@link #NAMES}, or {@code no-crossing}, {@code
   * no-prefixes} or {@code no-retry-spread} for {@code mustardlatch} without that mechanism.
   *
   * @throws IllegalArgumentException when there is none
   */
  public static PolicyFactory named(String name) {
    return switch (name) {
      case "round-robin" -> baseline(EngineChooser::roundRobin);
      case "least-reported-load" -> baseline(EngineChooser::leastLoad);
      case "two-choice" -> baseline(EngineChooser::twoChoice);
      case "mustardlatch" -> OWN;
      case "no-crossing" -> without(PolicyWithout.Mechanism.CROSSING);
      case "no-prefixes" -> without(PolicyWithout.Mechanism.PREFIXES);
      case "no-retry-spread" -> without(PolicyWithout.Mechanism.RETRY_SPREAD);
      default ->
          throw new IllegalArgumentException(
              "policy \"" + name + "\" does not exist; one of " + NAMES);
    };
  }

  private static PolicyFactory without(PolicyWithout.Mechanism mechanism) {
    return (self, random) -> new PolicyWithout(OWN.create(self, random), mechanism);
  }

  private static PolicyFactory baseline(Function<RandomGenerator, EngineChooser> chooser) {
    return (self, random) -> new BaselinePolicy(self.region(), chooser.apply(random));
  }
}
