package org.mustardlatch.core.routing;

import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.CrossRegionLink;

/**
 * Decides whether a request is routed to another region, and to which cell, within a byte budget.
 */
final class CrossRegionPolicy {
  private static final int OUTPUT_BYTES_PER_TOKEN = 5;

  private final CommandCollector commands;
  private final NodeSettings settings;
  private final CellChooser cellChooser;
  private final CrossRegionBudget budget = new CrossRegionBudget();

  CrossRegionPolicy(CommandCollector commands, NodeSettings settings, CellChooser cellChooser) {
    this.commands = commands;
    this.settings = settings;
    this.cellChooser = cellChooser;
  }

  /** Sets the budget from the link and the number of nodes of this region that share it. */
  void configure(CrossRegionLink link, int nodes) {
    budget.configure(link, nodes);
  }

  /**
   * Returns a cell of another region and acquires the bytes of the request from the budget, or
   * returns null if no cell is suitable or the budget is too low.
   *
   * @param eligible selects the cells that may serve the request
   */
  @Nullable Cell chooseCell(EntryRequest q, Topology topology, Predicate<Cell> eligible) {
    Cell cell =
        cellChooser.chooseRemote(
            topology, q.request.model(), q.refusedCells, eligible, commands.now());
    if (cell == null) {
      return null;
    }
    double bytes = q.request.promptBytes() + (double) OUTPUT_BYTES_PER_TOKEN * q.remainingTokens();
    double cost = bytes * settings.policyParameters().crossRegionCostFactor();
    if (!budget.acquire(cost, commands.now())) {
      commands.explain(q.request.id(), "cross_region_budget", "no budget for " + bytes + " bytes");
      return null;
    }
    q.acquiredCrossRegionBytes = cost;
    commands.explain(q.request.id(), "cross_region", "cell=" + cell.name() + " bytes=" + bytes);
    return cell;
  }

  /** Releases the bytes of a cross-region reservation request that was refused. */
  void releaseBudget(EntryRequest q) {
    budget.release(q.acquiredCrossRegionBytes);
    q.acquiredCrossRegionBytes = 0;
  }
}
