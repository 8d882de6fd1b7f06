package org.mustardlatch.gateway.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * The ranks of generations, from 0 for the most urgent to {@link #MAX_RANK}: that of the workspace
 * decides, and among workspaces of the same rank that of the route. A configuration in which all
 * generations are equally urgent has no ranks.
 */
public final class StreamRanks {
  /** Largest rank that engines accept. */
  public static final int MAX_RANK = 9;

  private record Urgency(int workspace, int route) {}

  private static final Comparator<Urgency> MOST_URGENT_FIRST =
      Comparator.comparingInt(Urgency::workspace).thenComparingInt(Urgency::route);

  private final List<Urgency> urgencies;

  private StreamRanks(List<Urgency> urgencies) {
    this.urgencies = urgencies;
  }

  static StreamRanks of(List<GatewayRoute> routes, List<GatewayWorkspace> workspaces) {
    TreeSet<Urgency> all = new TreeSet<>(MOST_URGENT_FIRST);
    for (GatewayRoute r : routes) {
      if (r.kind() == RequestKind.STREAMING) {
        workspaces.forEach(w -> all.add(urgency(r, w)));
        if (workspaces.isEmpty() || r.isPublic()) {
          all.add(urgency(r, null));
        }
      }
    }
    return new StreamRanks(new ArrayList<>(all));
  }

  private static Urgency urgency(GatewayRoute route, @Nullable GatewayWorkspace workspace) {
    int rank = workspace == null ? GatewayRoute.DEFAULT_RANK : workspace.rank();
    return new Urgency(rank, route.rank());
  }

  /**
   * Returns the rank of a generation; empty if all are equally urgent.
   *
   * @param workspace workspace of the caller; null if it has none
   */
  public OptionalInt rank(GatewayRoute route, @Nullable GatewayWorkspace workspace) {
    int index = urgencies.indexOf(urgency(route, workspace));
    if (urgencies.size() < 2 || index < 0) {
      return OptionalInt.empty();
    }
    return OptionalInt.of(Math.min(MAX_RANK, index));
  }
}
