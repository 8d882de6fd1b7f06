package org.mustardlatch.core.manifest;

import java.util.List;
import java.util.Optional;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.ZoneId;

/**
 * A manifest, the description of a deployment. Operators of daemons publish it to the fleet as a
 * TOML file; the gateway builds it from its configuration and the registered engines. Instances
 * from {@link ManifestParser} are validated: all references between entries resolve. Immutable.
 *
 * @param name name of the deployment
 * @param objective objective of the routing policy
 * @param regions regions, at least one
 * @param link network link between the regions
 * @param workspaces workspaces with their API keys and limits
 * @param models models with their latency targets
 * @param upstreams engines and application services
 * @param routes pass-through routes to application services
 * @param ledger limits of the ledger of non-idempotent requests
 * @param limits budgets for retries and hedged requests
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
  /** Makes defensive copies of the lists. */
  public Manifest {
    regions = List.copyOf(regions);
    workspaces = List.copyOf(workspaces);
    models = List.copyOf(models);
    upstreams = List.copyOf(upstreams);
    routes = List.copyOf(routes);
  }

  /** Returns the model with the given name, or empty if there is none. */
  public Optional<Model> model(ModelId id) {
    return models.stream().filter(m -> m.id().equals(id)).findFirst();
  }

  /** Returns the upstream with the given name, or empty if there is none. */
  public Optional<Upstream> upstream(UpstreamId id) {
    return upstreams.stream().filter(u -> u.id().equals(id)).findFirst();
  }

  /** Returns the region of the given availability zone, or empty if the zone is not defined. */
  public Optional<RegionId> regionOf(ZoneId zone) {
    return regions.stream().filter(r -> r.zones().contains(zone)).map(Region::id).findFirst();
  }
}
