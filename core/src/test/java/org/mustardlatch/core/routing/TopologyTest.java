package org.mustardlatch.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Objective;

class TopologyTest {
  private static final Manifest LARGE =
      Fixtures.manifest(Objective.WASTE_AVERSE, Fixtures.enginePools(240, 360));

  private static List<Member> members(int count) {
    List<Member> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      result.add(Fixtures.member(i, Fixtures.OSLO));
    }
    return result;
  }

  @Test
  void dividesAPoolIntoCellsThatHoldEachEngineOnce() {
    Topology t = new Topology(LARGE, members(8));
    List<Cell> cells = t.cells(Fixtures.MODEL, Fixtures.OSLO);

    assertThat(cells).hasSize(38);
    assertThat(cells.stream().mapToInt(c -> c.engines().size()).sum()).isEqualTo(600);
    cells.forEach(c -> assertThat(c.engines().size()).isAtMost(32));
  }

  @Test
  void movesOnlyTheCellsOfANodeThatIsGone() {
    Topology before = new Topology(LARGE, members(8));
    Topology after = new Topology(LARGE, members(7));
    for (Cell c : before.cells()) {
      if (!before.owners(c).getFirst().equals(Fixtures.host(7))) {
        assertThat(after.owners(c).getFirst()).isEqualTo(before.owners(c).getFirst());
      }
    }
  }

  @Test
  void hasNoOwnerForACellOfARegionWithoutNodes() {
    Topology t = new Topology(LARGE, List.of(Fixtures.member(0, Fixtures.BERGEN)));

    assertThat(t.owners(t.cells(Fixtures.MODEL, Fixtures.OSLO).getFirst())).isEmpty();
  }
}
