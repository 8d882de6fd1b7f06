package org.mustardlatch.replay;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The bounds of design 1.5 on one seed. They guard against regressions of the policy; the figures
 * over several seeds are in {@code docs/MEASUREMENTS.md}.
 */
class BoundsTest {
  private static ReplayReport run(User user, String policy, TraceKind kind) {
    List<TraceLine> trace = TraceGenerator.generate(user, kind, 1);
    return ReplayDriver.run(user.deployment(user.objective()), Policies.named(policy), trace, 1);
  }

  @ParameterizedTest
  @EnumSource
  void crestGoodputIsWellAboveTwoChoice(User user) {
    ReplayReport own = run(user, "mustardlatch", TraceKind.SWING);
    ReplayReport other = run(user, Bounds.BASELINE, TraceKind.SWING);
    assertThat(own.crestGoodput()).isAtLeast(Bounds.CREST_GOODPUT * other.crestGoodput());
    assertThat(own.wasteShare()).isAtMost(Bounds.WASTE * other.wasteShare());
  }

  @ParameterizedTest
  @EnumSource
  void goodputHoldsAtThreeTimesCapacity(User user) {
    ReplayReport triple = run(user, "mustardlatch", TraceKind.TRIPLE);
    ReplayReport capacity = run(user, "mustardlatch", TraceKind.CAPACITY);
    assertThat(triple.goodput()).isAtLeast(Bounds.TRIPLE_GOODPUT * capacity.goodput());
  }

  @ParameterizedTest
  @EnumSource
  void goodputIsNeverBelowTwoChoice(TraceKind kind) {
    ReplayReport own = run(User.VEVSTUA, "mustardlatch", kind);
    ReplayReport other = run(User.VEVSTUA, Bounds.BASELINE, kind);
    assertThat(own.goodput()).isAtLeast(Bounds.GOODPUT * other.goodput());
    assertThat(own.missing()).isEqualTo(0);
  }

  /** Tinta misses this bound, see {@code docs/MEASUREMENTS.md}. */
  @Test
  void stragglersStretchTheFirstTokenLittle() {
    ReplayReport with = run(User.VEVSTUA, "mustardlatch", TraceKind.STRAGGLERS);
    ReplayReport without = run(User.VEVSTUA, "mustardlatch", TraceKind.NO_STRAGGLERS);
    assertThat(with.firstTokenP99Ms()).isAtMost(Bounds.STRAGGLER_TAIL * without.firstTokenP99Ms());
  }

  @Test
  void ratiosAreFormedSeedBySeed() {
    Comparison comparison = new Comparison(User.VEVSTUA, User.VEVSTUA.objective(), 2, p -> {});
    comparison.run(List.of(TraceKind.TRIPLE), List.of(Bounds.BASELINE, "mustardlatch"));
    String table = new Bounds(comparison.results(), "mustardlatch").table();
    assertThat(table).contains("goodput, triple");
    assertThat(ComparisonTable.of(comparison.results())).contains("| mustardlatch |");
    assertThat(Spread.of(3, 1, 2).text(1)).isEqualTo("2.0 (1.0–3.0)");
  }
}
