package org.mustardlatch.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerService;

/**
 * Keeps up with the objects of one kind: lists them once and watches from there. After an error it
 * goes on from the last revision, and lists again when the store has forgotten the history.
 */
public final class StoreWatcher<T> {
  // Each call is billed, but a path that has gone silent only shows when a call is not answered in
  // time, and changes must be in force within seconds after it heals.
  private static final Duration WAIT = Duration.ofMillis(2_500);
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
  private static final int MAX_DOUBLINGS = 3;

  private final TimerService timers;
  private final StoreReader<T> reader;
  private final StoreListener<T> listener;
  private final RandomGenerator random;
  private List<StoredEntry<T>> pages = new ArrayList<>();
  private List<String> unreadable = new ArrayList<>();
  private @Nullable Long revision;
  private int failures;
  private boolean wasReachable;
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

  /** Starts to list. */
  public void start() {
    list(null);
  }

  /** Ends; what still arrives is ignored. */
  public void stop() {
    stopped = true;
  }

  private void list(@Nullable String after) {
    if (after == null) {
      pages = new ArrayList<>();
      unreadable = new ArrayList<>();
    }
    reader.list(after, this::answered);
  }

  private void watch() {
    Long from = revision;
    if (from == null) {
      list(null);
    } else {
      reader.watch(from, WAIT, this::answered);
    }
  }

  private void answered(StoreAnswer<T> answer) {
    if (stopped) {
      return;
    }
    if (!(answer instanceof StoreAnswer.Unavailable<T>)) {
      if (failures > 0 || !wasReachable) {
        listener.reachable(wasReachable);
      }
      wasReachable = true;
      failures = 0;
    }
    switch (answer) {
      case StoreAnswer.Page<T> page -> {
        pages.addAll(page.entries());
        unreadable.addAll(page.unreadable());
        if (page.after() == null) {
          revision = page.revision();
          listener.listed(List.copyOf(pages), List.copyOf(unreadable));
          watch();
        } else {
          list(page.after());
        }
      }
      case StoreAnswer.Changes<T> changes -> {
        changes.changes().forEach(listener::changed);
        revision = changes.revision();
        watch();
      }
      case StoreAnswer.HistoryGone<T> gone -> {
        revision = null;
        list(null);
      }
      case StoreAnswer.Unavailable<T> u -> {
        if (failures == 0) {
          listener.unreachable(u.reason());
        }
        long base = FIRST_BACKOFF.toNanos() << Math.min(MAX_DOUBLINGS, failures);
        failures++;
        long delay = base / 2 + random.nextLong(base);
        timers.schedule(Duration.ofNanos(delay), this::watch);
      }
    }
  }
}
