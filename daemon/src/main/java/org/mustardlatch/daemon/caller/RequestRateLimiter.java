package org.mustardlatch.daemon.caller;

import org.mustardlatch.core.model.WorkspaceId;

/** Limits the rate of requests of each workspace across the whole fleet. */
@FunctionalInterface
public interface RequestRateLimiter {
  /**
   * Acquires a permit for one request of a workspace. May block, normally well under 1 s, while
   * this node requests a lease on a part of the workspace's rate.
   *
   * @return false if the workspace has reached its rate limit or no lease was granted in time
   */
  boolean tryAcquire(WorkspaceId workspace);
}
