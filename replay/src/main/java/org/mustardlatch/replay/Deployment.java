package org.mustardlatch.replay;

import java.util.ArrayList;
import java.util.List;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.core.routing.Member;

/**
 * A manifest and the nodes that run it.
 *
 * @param manifest the manifest in force
 * @param nodes nodes at the start, at least one
 */
public record Deployment(Manifest manifest, List<Member> nodes) {
  /** Copies the list. */
  public Deployment {
    nodes = List.copyOf(nodes);
  }

  /** Returns a deployment with this number of nodes, spread evenly over the manifest's zones. */
  static Deployment spread(Manifest manifest, int nodes) {
    List<Member> members = new ArrayList<>();
    List<ZoneId> zones = manifest.regions().stream().flatMap(r -> r.zones().stream()).toList();
    for (int i = 0; i < nodes; i++) {
      ZoneId zone = zones.get(i % zones.size());
      RegionId region = manifest.regionOf(zone).orElseThrow();
      members.add(new Member(new HostId("node-" + i), region, zone, 1));
    }
    return new Deployment(manifest, members);
  }
}
