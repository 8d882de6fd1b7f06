package org.mustardlatch.core.manifest;

import java.util.List;
import org.mustardlatch.core.model.WorkspaceId;

/**
 * A workspace with its keys and limits.
 *
 * @param id name of the workspace
 * @param apiKeysSha256 SHA-256 digests of its API keys, lower-case hexadecimal
 * @param weight share in fair queueing relative to other workspaces, greater than 0
 * @param requestsPerSecond limit over the whole fleet, requests per second
 * @param maxConcurrent limit of requests in progress over the whole fleet
 */
public record Workspace(
    WorkspaceId id,
    List<String> apiKeysSha256,
    double weight,
    double requestsPerSecond,
    int maxConcurrent) {
  /** Copies the list. */
  public Workspace {
    apiKeysSha256 = List.copyOf(apiKeysSha256);
  }
}
