package org.mustardlatch.daemon.caller;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.manifest.Workspace;
import org.mustardlatch.core.model.WorkspaceId;

/**
 * Limits the requests of a workspace: their rate across the whole fleet and the number in progress
 * on this node. Safe for use by several threads.
 */
final class WorkspaceLimiter {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final ConcurrentMap<WorkspaceId, AtomicInteger> inProgress = new ConcurrentHashMap<>();
  private final RequestRateLimiter rateLimiter;

  WorkspaceLimiter(RequestRateLimiter rateLimiter) {
    this.rateLimiter = rateLimiter;
  }

  /**
   * Acquires a slot for one request, to be released with {@link Slot#close}. May block for the rate
   * limiter, see {@link RequestRateLimiter#tryAcquire}.
   *
   * @throws RefusedException with {@link ErrorCode#RATE_LIMITED} if the workspace has reached its
   *     limit of concurrent requests or its rate limit
   */
  Slot acquire(Workspace workspace) {
    Slot slot = acquireSlot(workspace);
    if (!rateLimiter.tryAcquire(workspace.id())) {
      slot.close();
      throw new RefusedException(
          ErrorCode.RATE_LIMITED,
          "not run: workspace \"%s\" is limited to %s requests per second"
              .formatted(workspace.id(), workspace.requestsPerSecond()),
          RETRY_AFTER);
    }
    return slot;
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

  /** One of the concurrent requests of a workspace; {@link #close} releases it. */
  @FunctionalInterface
  interface Slot extends AutoCloseable {
    @Override
    void close();
  }
}
