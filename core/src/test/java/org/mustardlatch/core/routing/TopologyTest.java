package org.mustardlatch.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Objective;

class TopologyTest {
  private static final Manifest LARGE_MANIFEST =
      Fixtures.manifest(Objective.WASTE_AVERSE, Fixtures.enginePools(240, 360));

  private static List<Member> members(int count) {
    List<Member> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      result.add(Fixtures.member(i, Fixtures.OSLO));
    }
    return result;
  }

  @Test
  void dividesTheEnginesOfAModelIntoCellsThatContainEachEngineOnce() {
    Topology t = new Topology(LARGE_MANIFEST, members(8));
    List<Cell> cells = t.cells(Fixtures.MODEL, Fixtures.OSLO);

    assertThat(cells).hasSize(38);
    assertThat(cells.stream().mapToInt(c -> c.engines().size()).sum()).isEqualTo(600);
    cells.forEach(c -> assertThat(c.engines().size()).isAtMost(32));
  }

  @Test
  void reassignsOnlyTheCellsOfARemovedNode() {
    Topology before = new Topology(LARGE_MANIFEST, members(8));
    Topology after = new Topology(LARGE_MANIFEST, members(7));
    for (Cell c : before.cells()) {
      if (!before.admittingNodes(c).getFirst().equals(Fixtures.host(7))) {
        assertThat(after.admittingNodes(c).getFirst())
            .isEqualTo(before.admittingNodes(c).getFirst());
      }
    }
  }

  @Test
  void hasNoAdmittingNodeForACellInARegionWithoutNodes() {
    Topology t = new Topology(LARGE_MANIFEST, List.of(Fixtures.member(0, Fixtures.BERGEN)));

    assertThat(t.admittingNodes(t.cells(Fixtures.MODEL, Fixtures.OSLO).getFirst())).isEmpty();
  }
}
