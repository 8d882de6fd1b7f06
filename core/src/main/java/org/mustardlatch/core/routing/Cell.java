package org.mustardlatch.core.routing;

import java.util.List;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.RegionId;

/**
 * Engines of one model in one region that one node admits work to.
 *
 * @param name unique in the fleet, for example {@code label/oslo/0}
 * @param engines the engines, in manifest order
 */
record Cell(String name, Model model, RegionId region, List<Upstream> engines) {
  Cell {
    engines = List.copyOf(engines);
  }

  /** Returns whether some engine that is not leaving processes prompts by its role. */
  boolean hasPrefillEngine() {
    return engines.stream().anyMatch(e -> e.role().prefills() && !e.leaving());
  }
}
