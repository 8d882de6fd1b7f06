package org.mustardlatch.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.RegionId;

/**
 * A cell: the engines of one model in one region that share one admitting node. If a model has many
 * engines in a region, they are divided into several cells.
 *
 * @param name name that is unique in the fleet, for example {@code label/oslo/0}
 * @param engines the engines, in manifest order
 */
record Cell(String name, Model model, RegionId region, List<Upstream> engines) {
  Cell {
    engines = List.copyOf(engines);
  }

  /** Returns whether the cell has a prefill or mixed engine that is not leaving (draining). */
  boolean hasPrefillEngine() {
    return engines.stream().anyMatch(e -> e.role().prefills() && !e.leaving());
  }

  /**
   * Returns whether the cell has an engine that is not leaving and decodes with a version of its
   * software.
   *
   * @param softwareVersion null for any version
   */
  boolean hasDecodeEngine(@Nullable String softwareVersion) {
    return engines.stream()
        .anyMatch(
            e ->
                e.role().decodes()
                    && !e.leaving()
                    && (softwareVersion == null || softwareVersion.equals(e.softwareVersion())));
  }
}
