package org.mustardlatch.core.routing;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.Limits;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Objective;
import org.mustardlatch.core.manifest.Workspace;
import org.mustardlatch.core.model.WorkspaceId;

/** The routing settings derived from the active manifest, with defaults before the first one. */
final class NodeSettings {
  private PolicyParameters policyParameters = PolicyParameters.of(Objective.WASTE_AVERSE);
  private Limits limits = new Limits(0.1, 0.02);
  private Map<WorkspaceId, Double> workspaceWeights = Map.of();
  private @Nullable Manifest manifest;

  /** Replaces the settings by those of a newly active manifest. */
  void apply(Manifest next) {
    manifest = next;
    policyParameters = PolicyParameters.of(next.objective());
    limits = next.limits();
    Map<WorkspaceId, Double> w = new HashMap<>();
    for (Workspace workspace : next.workspaces()) {
      w.put(workspace.id(), workspace.weight());
    }
    workspaceWeights = Map.copyOf(w);
  }

  /** Returns the active manifest, or null before the first one. */
  @Nullable Manifest manifest() {
    return manifest;
  }

  PolicyParameters policyParameters() {
    return policyParameters;
  }

  Limits limits() {
    return limits;
  }

  /** Returns the fair-queueing weight of a workspace; 1 if the manifest does not list it. */
  double workspaceWeight(WorkspaceId workspace) {
    return workspaceWeights.getOrDefault(workspace, 1.0);
  }
}
