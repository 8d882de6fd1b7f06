package org.mustardlatch.core.manifest;

import java.util.List;
import org.mustardlatch.core.model.WorkspaceId;

/**
 * A workspace, the unit to which API keys and limits belong.
 *
 * @param id name of the workspace
 * @param apiKeysSha256 SHA-256 digests of the API keys of the workspace, lower-case hexadecimal
 * @param weight weight in fair queueing relative to other workspaces, greater than 0
 * @param requestsPerSecond rate limit over the whole fleet, requests per second; 1,000,000 or more
 *     means no limit
 * @param maxConcurrent limit of concurrent requests; each daemon applies it to the requests that it
 *     receives itself
 */
public record Workspace(
    WorkspaceId id,
    List<String> apiKeysSha256,
    double weight,
    double requestsPerSecond,
    int maxConcurrent) {
  /** Makes a defensive copy of the list. */
  public Workspace {
    apiKeysSha256 = List.copyOf(apiKeysSha256);
  }
}
