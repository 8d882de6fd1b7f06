package org.mustardlatch.core.manifest;

import java.util.List;
import java.util.Optional;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.ZoneId;

/**
 * A checked manifest. Instances come from {@link ManifestParser}; references between entries are
 * known to resolve.
 *
 * @param name name of the deployment
 * @param objective what the routing policy favours
 * @param regions regions, at least one
 * @param link the link between regions
 * @param workspaces workspaces
 * @param models models
 * @param upstreams engines and application services
 * @param routes pass-through routes
 * @param ledger how records of non-idempotent requests are kept
 * @param limits fleet-wide budgets
 */
public record Manifest(
    String name,
    Objective objective,
    List<Region> regions,
    CrossRegionLink link,
    List<Workspace> workspaces,
    List<Model> models,
    List<Upstream> upstreams,
    List<Route> routes,
    LedgerPolicy ledger,
    Limits limits) {
  /** Copies the lists. */
  public Manifest {
    regions = List.copyOf(regions);
    workspaces = List.copyOf(workspaces);
    models = List.copyOf(models);
    upstreams = List.copyOf(upstreams);
    routes = List.copyOf(routes);
  }

  /** Returns the model with this name, or empty. */
  public Optional<Model> model(ModelId id) {
    return models.stream().filter(m -> m.id().equals(id)).findFirst();
  }

  /** Returns the upstream with this name, or empty. */
  public Optional<Upstream> upstream(UpstreamId id) {
    return upstreams.stream().filter(u -> u.id().equals(id)).findFirst();
  }

  /** Returns the region that has this availability zone, or empty. */
  public Optional<RegionId> regionOf(ZoneId zone) {
    return regions.stream().filter(r -> r.zones().contains(zone)).map(Region::id).findFirst();
  }
}
