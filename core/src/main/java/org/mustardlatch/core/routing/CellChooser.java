package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.peer.AdmissionMessage.CellSummary;

/** Chooses the cell that is asked, by the summaries in the answers of admitting nodes. */
final class CellChooser {
  // A summary says nothing any more once most of the requests it counted have moved on.
  private static final long SUMMARY_AGE_NANOS = 1_000_000_000;

  // A cell with less room than this needs it for the callers of its own region.
  private static final long MAX_REMOTE_WAIT_NANOS = 20_000_000;
  private static final int MIN_REMOTE_SLOTS = 8;

  private record Known(CellSummary summary, long atNanos) {}

  private final RegionId region;
  private final RandomGenerator random;
  private final Map<String, Known> summaries = new HashMap<>();

  CellChooser(RegionId region, RandomGenerator random) {
    this.region = region;
    this.random = random;
  }

  void learn(CellSummary summary, long now) {
    summaries.put(summary.cell(), new Known(summary, now));
  }

  void keep(Topology topology) {
    summaries.keySet().removeIf(name -> topology.cell(name) == null);
  }

  /** Returns the better of two cells of this region that were not asked yet, or null. */
  @Nullable Cell local(Topology topology, ModelId model, Set<String> refused) {
    return better(topology, candidates(topology.cells(model, region), refused));
  }

  /** Returns a cell of another region that fits and may have room, or null. */
  @Nullable Cell remote(
      Topology topology, ModelId model, Set<String> refused, Predicate<Cell> fits, long now) {
    List<Cell> cells = new ArrayList<>();
    for (RegionId other : topology.regions()) {
      if (!other.equals(region)) {
        for (Cell c : candidates(topology.cells(model, other), refused)) {
          if (fits.test(c) && mayHaveRoom(c, now) && !topology.admittingNodes(c).isEmpty()) {
            cells.add(c);
          }
        }
      }
    }
    return better(topology, cells);
  }

  private boolean mayHaveRoom(Cell cell, long now) {
    Known k = summaries.get(cell.name());
    return k == null
        || now - k.atNanos() > SUMMARY_AGE_NANOS
        || (k.summary().freeSlots() >= MIN_REMOTE_SLOTS
            && k.summary().predictedWaitNanos() < MAX_REMOTE_WAIT_NANOS);
  }

  private static List<Cell> candidates(List<Cell> cells, Set<String> refused) {
    return refused.isEmpty()
        ? cells
        : cells.stream().filter(c -> !refused.contains(c.name())).toList();
  }

  private @Nullable Cell better(Topology topology, List<Cell> cells) {
    if (cells.size() <= 1) {
      return cells.isEmpty() ? null : cells.getFirst();
    }
    Cell a = cells.get(random.nextInt(cells.size()));
    Cell b = cells.get(random.nextInt(cells.size()));
    return score(a) <= score(b) && !topology.admittingNodes(a).isEmpty() ? a : b;
  }

  private double score(Cell cell) {
    Known k = summaries.get(cell.name());
    if (k == null) {
      return 0;
    }
    double wait = k.summary().predictedWaitNanos();
    return k.summary().freeSlots() > 0 ? wait / 2 : 1e9 + wait;
  }
}
