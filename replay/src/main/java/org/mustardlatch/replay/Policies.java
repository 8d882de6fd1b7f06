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

  private Policies() {}

  /**
   * Returns the policy with this name.
   *
   * @throws IllegalArgumentException when there is none
   */
  public static PolicyFactory named(String name) {
    return switch (name) {
      case "round-robin" -> baseline(EngineChooser::roundRobin);
      case "least-reported-load" -> baseline(EngineChooser::leastLoad);
      case "two-choice" -> baseline(EngineChooser::twoChoice);
      case "mustardlatch" ->
          (self, random) -> new NodeRouter(self.host(), self.region(), self.incarnation(), random);
      default ->
          throw new IllegalArgumentException(
              "policy \"" + name + "\" does not exist; one of " + NAMES);
    };
  }

  private static PolicyFactory baseline(Function<RandomGenerator, EngineChooser> chooser) {
    return (self, random) -> new BaselinePolicy(self.region(), chooser.apply(random));
  }
}
