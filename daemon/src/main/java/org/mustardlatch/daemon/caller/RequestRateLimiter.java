package org.mustardlatch.daemon.caller;

import org.mustardlatch.core.model.WorkspaceId;

/** The rates of requests that workspaces may send over the whole fleet. */
@FunctionalInterface
public interface RequestRateLimiter {
  /** Takes one request off the rate of a workspace; may block for a lease, well under 1 s. */
  boolean tryAcquire(WorkspaceId workspace);
}
