package org.mustardlatch.daemon.caller;

import org.mustardlatch.core.model.WorkspaceId;

/** Limits the rate of requests of each workspace across the whole fleet. */
@FunctionalInterface
public interface RequestRateLimiter {
  /**
   * Acquires a permit for one request of a workspace. May block while a lease is requested,
   * normally well under 1 s.
   *
   * @return false if the workspace has reached its rate limit
   */
  boolean tryAcquire(WorkspaceId workspace);
}
