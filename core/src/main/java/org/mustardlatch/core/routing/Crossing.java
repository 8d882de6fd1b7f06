package org.mustardlatch.core.routing;

import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.CrossRegionLink;

/** Chooses whether and where a request goes to another region, under the byte budget. */
final class Crossing {
  private static final int ANSWER_BYTES_PER_TOKEN = 5;

  private final Effects fx;
  private final NodeSettings settings;
  private final CellChooser chooser;
  private final CrossRegionBudget budget = new CrossRegionBudget();

  Crossing(Effects fx, NodeSettings settings, CellChooser chooser) {
    this.fx = fx;
    this.settings = settings;
    this.chooser = chooser;
  }

  void configure(CrossRegionLink link, int nodes) {
    budget.configure(link, nodes);
  }

  /**
   * Returns a cell of another region and takes the bytes from the budget, or returns null.
   *
   * @param fits tells the cells that are worth a crossing
   */
  @Nullable Cell open(EntryRequest q, Topology topology, Predicate<Cell> fits) {
    Cell cell = chooser.remote(topology, q.request.model(), q.refusedCells, fits, fx.now());
    if (cell == null) {
      return null;
    }
    double bytes = q.request.promptBytes() + (double) ANSWER_BYTES_PER_TOKEN * q.remainingTokens();
    double cost = bytes * settings.policyParameters().crossRegionCostFactor();
    if (!budget.take(cost, fx.now())) {
      fx.explain(q.request.id(), "cross_region_budget", "no budget for " + bytes + " bytes");
      return null;
    }
    q.crossingCost = cost;
    fx.explain(q.request.id(), "cross_region", "cell=" + cell.name() + " bytes=" + bytes);
    return cell;
  }

  /** Gives the bytes of a crossing back that was not granted. */
  void refused(EntryRequest q) {
    budget.giveBack(q.crossingCost);
    q.crossingCost = 0;
  }
}
