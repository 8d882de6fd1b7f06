package org.mustardlatch.daemon.caller;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.manifest.Workspace;
import org.mustardlatch.core.model.WorkspaceId;

/**
 * Limits what a workspace sends: its rate over the whole fleet, and the requests in progress on
 * this node.
 */
final class WorkspaceLimiter {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final ConcurrentMap<WorkspaceId, AtomicInteger> inProgress = new ConcurrentHashMap<>();
  private final RequestRateLimiter rateLimiter;

  WorkspaceLimiter(RequestRateLimiter rates) {
    this.rateLimiter = rates;
  }

  /**
   * Takes a place; it must be given back by closing it.
   *
   * @throws RefusedException with {@link ErrorCode#RATE_LIMITED} when none is free or the rate is
   *     used up
   */
  Slot acquire(Workspace workspace) {
    Slot place = acquireSlot(workspace);
    if (!rateLimiter.tryAcquire(workspace.id())) {
      place.close();
      throw new RefusedException(
          ErrorCode.RATE_LIMITED,
          "not run: workspace \"%s\" is limited to %s requests per second"
              .formatted(workspace.id(), workspace.requestsPerSecond()),
          RETRY_AFTER);
    }
    return place;
  }

  private Slot acquireSlot(Workspace workspace) {
    AtomicInteger count = inProgress.computeIfAbsent(workspace.id(), id -> new AtomicInteger());
    if (count.incrementAndGet() > workspace.maxConcurrent()) {
      count.decrementAndGet();
      throw new RefusedException(
          ErrorCode.RATE_LIMITED,
          "not run: workspace \"%s\" has %d requests in progress"
              .formatted(workspace.id(), workspace.maxConcurrent()),
          RETRY_AFTER);
    }
    return count::decrementAndGet;
  }

  /** A place for one request. */
  @FunctionalInterface
  interface Slot extends AutoCloseable {
    @Override
    void close();
  }
}
