package org.mustardlatch.core.routing;

import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.CrossRegionLink;

/** Chooses whether and where a request goes to another region, under the byte budget. */
final class CrossRegionPolicy {
  private static final int OUTPUT_BYTES_PER_TOKEN = 5;

  private final CommandCollector commands;
  private final NodeSettings settings;
  private final CellChooser cellChooser;
  private final CrossRegionBudget budget = new CrossRegionBudget();

  CrossRegionPolicy(CommandCollector commands, NodeSettings settings, CellChooser chooser) {
    this.commands = commands;
    this.settings = settings;
    this.cellChooser = chooser;
  }

  void configure(CrossRegionLink link, int nodes) {
    budget.configure(link, nodes);
  }

  /**
   * Returns a cell of another region and takes the bytes from the budget, or returns null.
   *
   * @param fits tells the cells that are worth a crossing
   */
  @Nullable Cell chooseCell(EntryRequest q, Topology topology, Predicate<Cell> eligible) {
    Cell cell = cellChooser.chooseRemote(topology, q.request.model(), q.refusedCells, eligible, commands.now());
    if (cell == null) {
      return null;
    }
    double bytes = q.request.promptBytes() + (double) OUTPUT_BYTES_PER_TOKEN * q.remainingTokens();
    double cost = bytes * settings.tuning().crossingCost();
    if (!budget.acquire(cost, commands.now())) {
      commands.explain(q.request.id(), "cross_region_budget", "no budget for " + bytes + " bytes");
      return null;
    }
    q.acquiredCrossRegionBytes = cost;
    commands.explain(q.request.id(), "cross_region", "cell=" + cell.name() + " bytes=" + bytes);
    return cell;
  }

  /** Gives the bytes of a crossing back that was not granted. */
  void releaseBudget(EntryRequest q) {
    budget.release(q.acquiredCrossRegionBytes);
    q.acquiredCrossRegionBytes = 0;
  }
}
