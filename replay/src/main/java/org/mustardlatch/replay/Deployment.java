package org.mustardlatch.replay;

import java.util.List;
import org.mustardlatch.core.manifest.Manifest;
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
}
