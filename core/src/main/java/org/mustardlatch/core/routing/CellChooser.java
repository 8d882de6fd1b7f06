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

/**
 * Chooses the cell for an attempt by the capacity summaries that admitting nodes send with their
 * responses.
 */
final class CellChooser {
  // An older summary does not exclude a cell: most of the requests that it counted have left the
  // cell.
  private static final long MAX_SUMMARY_AGE_NANOS = 1_000_000_000;

  // A cell with a longer wait or fewer free slots needs its capacity for the callers of its own
  // region.
  private static final long MAX_REMOTE_WAIT_NANOS = 20_000_000;
  private static final int MIN_REMOTE_FREE_SLOTS = 8;

  private record TimedSummary(CellSummary summary, long receivedNanos) {}

  private final RegionId region;
  private final RandomGenerator random;
  private final Map<String, TimedSummary> summaries = new HashMap<>();

  CellChooser(RegionId region, RandomGenerator random) {
    this.region = region;
    this.random = random;
  }

  /** Records the latest summary of a cell. */
  void recordSummary(CellSummary summary, long now) {
    summaries.put(summary.cell(), new TimedSummary(summary, now));
  }

  /** Removes the summaries of cells that the topology no longer has. */
  void retainCells(Topology topology) {
    summaries.keySet().removeIf(name -> topology.cell(name) == null);
  }

  /**
   * Returns the less loaded of two random cells of this region that have not refused the request,
   * or null if there is none.
   *
   * @param eligible selects the cells to consider
   */
  @Nullable Cell chooseLocal(
      Topology topology, ModelId model, Set<String> refused, Predicate<Cell> eligible) {
    List<Cell> cells = withoutRefused(topology.cells(model, region), refused);
    return betterOfTwo(topology, cells.stream().filter(eligible).toList());
  }

  /**
   * Returns a cell of another region that may have free capacity, or null if there is none.
   *
   * @param eligible selects the cells to consider
   */
  @Nullable Cell chooseRemote(
      Topology topology, ModelId model, Set<String> refused, Predicate<Cell> eligible, long now) {
    List<Cell> cells = new ArrayList<>();
    for (RegionId other : topology.regions()) {
      if (!other.equals(region)) {
        for (Cell c : withoutRefused(topology.cells(model, other), refused)) {
          if (eligible.test(c)
              && mayHaveCapacity(c, now)
              && !topology.admittingNodes(c).isEmpty()) {
            cells.add(c);
          }
        }
      }
    }
    return betterOfTwo(topology, cells);
  }

  private boolean mayHaveCapacity(Cell cell, long now) {
    TimedSummary s = summaries.get(cell.name());
    return s == null
        || now - s.receivedNanos() > MAX_SUMMARY_AGE_NANOS
        || (s.summary().freeSlots() >= MIN_REMOTE_FREE_SLOTS
            && s.summary().predictedWaitNanos() < MAX_REMOTE_WAIT_NANOS);
  }

  private static List<Cell> withoutRefused(List<Cell> cells, Set<String> refused) {
    return refused.isEmpty()
        ? cells
        : cells.stream().filter(c -> !refused.contains(c.name())).toList();
  }

  /**
   * Returns the less loaded of two random cells. The first one is chosen only if it has an
   * admitting node.
   */
  private @Nullable Cell betterOfTwo(Topology topology, List<Cell> cells) {
    if (cells.size() <= 1) {
      return cells.isEmpty() ? null : cells.getFirst();
    }
    Cell a = cells.get(random.nextInt(cells.size()));
    Cell b = cells.get(random.nextInt(cells.size()));
    return loadScore(a) <= loadScore(b) && !topology.admittingNodes(a).isEmpty() ? a : b;
  }

  /** Returns a score that is lower for free slots and a short wait, and 0 without a summary. */
  private double loadScore(Cell cell) {
    TimedSummary s = summaries.get(cell.name());
    if (s == null) {
      return 0;
    }
    double wait = s.summary().predictedWaitNanos();
    return s.summary().freeSlots() > 0 ? wait / 2 : 1e9 + wait;
  }
}
