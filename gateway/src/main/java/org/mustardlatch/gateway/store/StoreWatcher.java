package org.mustardlatch.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerService;

/**
 * Follows the objects of one kind: lists them once and watches for changes from that revision.
 * After an error it resumes from the last revision; it lists again if the history has expired or
 * the store was restored from an earlier copy. Used on the thread of the timer service.
 */
public final class StoreWatcher<T> {
  // Each call is billed, which favors a long wait. But a silently broken connection is only
  // detected when a call times out, and changes must be applied within seconds after the
  // connection recovers.
  private static final Duration WATCH_WAIT = Duration.ofMillis(2_500);
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
  private static final int MAX_BACKOFF_DOUBLINGS = 3;

  private final TimerService timers;
  private final StoreReader<T> reader;
  private final StoreListener<T> listener;
  private final RandomGenerator random;
  private List<StoredEntry<T>> listedEntries = new ArrayList<>();
  private List<String> listedUnreadable = new ArrayList<>();
  private @Nullable Long revision;
  private int consecutiveFailures;
  private boolean everReachable;
  private boolean stopped;

  /** Creates a watcher that does nothing before {@link #start}. */
  public StoreWatcher(
      TimerService timers,
      StoreReader<T> reader,
      StoreListener<T> listener,
      RandomGenerator random) {
    this.timers = timers;
    this.reader = reader;
    this.listener = listener;
    this.random = random;
  }

  /** Starts to list and watch the objects. */
  public void start() {
    list(null);
  }

  /** Stops the watcher; responses that arrive later are ignored. */
  public void stop() {
    stopped = true;
  }

  private void list(@Nullable String after) {
    if (after == null) {
      listedEntries = new ArrayList<>();
      listedUnreadable = new ArrayList<>();
    }
    reader.list(after, this::handleResponse);
  }

  private void watch() {
    Long from = revision;
    if (from == null) {
      list(null);
    } else {
      reader.watch(from, WATCH_WAIT, this::handleResponse);
    }
  }

  private void handleResponse(StoreResponse<T> response) {
    if (stopped) {
      return;
    }
    if (!(response instanceof StoreResponse.Unavailable<T>)) {
      if (consecutiveFailures > 0 || !everReachable) {
        listener.storeReachable(everReachable);
      }
      everReachable = true;
      consecutiveFailures = 0;
    }
    switch (response) {
      case StoreResponse.Page<T> page -> {
        listedEntries.addAll(page.entries());
        listedUnreadable.addAll(page.unreadable());
        if (page.nextPageAfter() == null) {
          revision = page.revision();
          listener.objectsListed(List.copyOf(listedEntries), List.copyOf(listedUnreadable));
          watch();
        } else {
          list(page.nextPageAfter());
        }
      }
      case StoreResponse.Changes<T> changes -> {
        changes.changes().forEach(listener::objectChanged);
        revision = changes.revision();
        watch();
      }
      case StoreResponse.HistoryExpired<T> expired -> {
        revision = null;
        list(null);
      }
      case StoreResponse.Restored<T> restored -> {
        listener.storeRestored();
        revision = null;
        list(null);
      }
      case StoreResponse.Unavailable<T> u -> {
        if (consecutiveFailures == 0) {
          listener.storeUnreachable(u.reason());
        }
        long base = FIRST_BACKOFF.toNanos() << Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures);
        consecutiveFailures++;
        long delay = base / 2 + random.nextLong(base);
        timers.schedule(Duration.ofNanos(delay), this::watch);
      }
    }
  }
}
