package org.mustardlatch.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/** The platform's load balancer: in turn over the live nodes of the zone, else region, else all. */
final class EntryBalancer {
  private final Iterable<ReplayNode> nodes;
  private int turn;

  EntryBalancer(Iterable<ReplayNode> nodes) {
    this.nodes = nodes;
  }

  ReplayNode pick(RegionId region, ZoneId zone) {
    List<ReplayNode> choice = live(n -> n.member().zone().equals(zone));
    if (choice.isEmpty()) {
      choice = live(n -> n.member().region().equals(region));
    }
    if (choice.isEmpty()) {
      choice = live(n -> true);
    }
    if (choice.isEmpty()) {
      throw new IllegalStateException("no node is alive");
    }
    return choice.get(Math.floorMod(turn++, choice.size()));
  }

  private List<ReplayNode> live(Predicate<ReplayNode> filter) {
    List<ReplayNode> result = new ArrayList<>();
    for (ReplayNode n : nodes) {
      if (n.isAlive() && filter.test(n)) {
        result.add(n);
      }
    }
    return result;
  }
}
