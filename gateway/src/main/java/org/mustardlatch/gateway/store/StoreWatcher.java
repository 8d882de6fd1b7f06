package org.mustardlatch.gateway.store;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Follows the objects of one kind: lists them once and watches for changes from the revision of the
 * list's first page, so that none between two pages is missed. After an error it resumes with the
 * next page or from the last revision; it lists again if the history has expired or is too long to
 * be read, or the store was restored from an earlier copy. Used on the thread of the timer service.
 *
 * <p>While responses arrive slowly and each changes all objects, it lists instead of watching: a
 * list leaves out the changes that newer ones supersede, so the node does not fall behind further.
 */
public final class StoreWatcher<T> {
  // Each call is billed, which favors a long wait. But a silently broken connection is only
  // detected when a call times out, and changes must be applied within seconds after the
  // connection recovers.
  private static final Duration WATCH_WAIT = Duration.ofMillis(2_500);
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
  private static final int MAX_BACKOFF_DOUBLINGS = 3;
  // A check reads a new change whole, beside the nodes that watch. The interval is long, and random
  // up to twice this, so that few nodes do so for any one change.
  private static final Duration MIN_CHECK_INTERVAL = Duration.ofSeconds(5);
  // The shortest wait that stores tell from none stated.
  private static final Duration CHECK_WAIT = Duration.ofMillis(1);
  private static final Duration SLOW_TRANSFER = Duration.ofMillis(250);

  private final TimerService timers;
  private final StoreReader<T> reader;
  private final StoreListener<T> listener;
  private final RandomGenerator random;

  /** The last list; null once the watch has passed the revisions of all its pages. */
  private @Nullable PagedList<T> list = new PagedList<>();

  /** The revision at which each object was last seen; 0 if not stated. */
  private final Map<String, Long> objectRevisions = new HashMap<>();

  private long revision;
  private boolean listNext;
  private boolean watching = true;
  private boolean restoredAtCheck;
  private long readSentNanos;
  private @Nullable Long confirmedNanos;
  private @Nullable TimerSubscription nextCheck;
  private int consecutiveFailures;
  private int restartsSinceLastWatch;
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
    read();
  }

  /** Stops the watcher; responses that arrive later are ignored. */
  public void stop() {
    stopped = true;
  }

  /**
   * Sets whether to wait for changes at the store, which is the initial state. If not, other nodes
   * are expected to pass changes on, and the store is only checked for missing ones some time after
   * the last change.
   */
  public void setWatching(boolean next) {
    watching = next;
    if (next && cancelCheck()) {
      read();
    }
  }

  /**
   * Records that another node has passed on an object, whose changes up to a revision need not be
   * read any more.
   */
  public void receivedFromPeer(String name, long objectRevision) {
    objectRevisions.merge(name, objectRevision, Math::max);
    if (!watching) {
      revision = Math.max(revision, objectRevision);
      listNext = false;
    }
    if (cancelCheck()) {
      scheduleCheck();
    }
  }

  /**
   * Returns the monotonic time up to which all changes have been passed to the listener, in
   * nanoseconds; null before the first list.
   */
  public @Nullable Long confirmedNanos() {
    return confirmedNanos;
  }

  /**
   * Reads what has changed at the store, beside a read in progress, which may hang.
   *
   * @param done receives whether all changes up to this call have been passed to the listener
   */
  public void checkNow(Consumer<Boolean> done) {
    if (stopped || confirmedNanos == null || isListing()) {
      done.accept(false);
      return;
    }
    long sentNanos = timers.nanos();
    reader.watch(revision, CHECK_WAIT, r -> done.accept(handleCheckResponse(r, sentNanos)));
  }

  /** Returns whether a list has begun whose last page has not been read. */
  private boolean isListing() {
    return list != null && !list.isComplete();
  }

  private boolean handleCheckResponse(StoreResponse<T> response, long sentNanos) {
    switch (response) {
      case StoreResponse.Changes<T> changes when !stopped && !restoredAtCheck && !isListing() -> {
        passOn(changes);
        confirm(sentNanos);
        return true;
      }
      // The reader reports a restored store once, but the read in progress has to list it.
      case StoreResponse.Restored<T> r -> restoredAtCheck = true;
      default -> {}
    }
    return false;
  }

  private void confirm(long sentNanos) {
    Long known = confirmedNanos;
    confirmedNanos = known == null ? sentNanos : Math.max(known, sentNanos);
  }

  private void scheduleCheck() {
    nextCheck =
        timers.schedule(
            MIN_CHECK_INTERVAL.plusNanos(random.nextLong(MIN_CHECK_INTERVAL.toNanos())),
            () -> {
              nextCheck = null;
              read();
            });
  }

  /** Cancels the next check; returns whether there was one. */
  private boolean cancelCheck() {
    TimerSubscription t = nextCheck;
    nextCheck = null;
    if (t != null) {
      t.cancel();
    }
    return t != null;
  }

  private void resume() {
    if (!watching && !isListing()) {
      scheduleCheck();
    } else {
      read();
    }
  }

  private void read() {
    if (stopped) {
      return;
    }
    if (listNext && !isListing()) {
      list = new PagedList<>();
    }
    readSentNanos = timers.nanos();
    if (list == null || list.isComplete()) {
      reader.watch(revision, watching ? WATCH_WAIT : CHECK_WAIT, this::handleResponse);
    } else {
      reader.list(list.nextPageAfter(), this::handleResponse);
    }
  }

  /** Lists all objects again; delayed if no watch has succeeded since the last restart. */
  private void restartList() {
    list = new PagedList<>();
    restartsSinceLastWatch++;
    if (restartsSinceLastWatch == 1) {
      read();
    } else {
      timers.schedule(backoff(restartsSinceLastWatch - 2), this::read);
    }
  }

  private Duration backoff(int failures) {
    long base = FIRST_BACKOFF.toNanos() << Math.min(MAX_BACKOFF_DOUBLINGS, failures);
    return Duration.ofNanos(base / 2 + random.nextLong(base));
  }

  private void handleResponse(StoreResponse<T> response) {
    if (stopped) {
      return;
    }
    if (!(response instanceof StoreResponse.Unavailable<T>)) {
      if (consecutiveFailures > 0 || !everReachable) {
        boolean afterOutage = everReachable;
        notifyListener(() -> listener.storeReachable(afterOutage));
      }
      everReachable = true;
      consecutiveFailures = 0;
    }
    // A check has reported the restore instead of this read.
    boolean listAgain = restoredAtCheck && !(response instanceof StoreResponse.Unavailable<T>);
    restoredAtCheck &= !listAgain;
    switch (listAgain ? new StoreResponse.Restored<T>() : response) {
      case StoreResponse.Page<T> page -> {
        addPage(page);
        resume();
      }
      case StoreResponse.Changes<T> changes -> {
        restartsSinceLastWatch = 0;
        passOn(changes);
        confirm(readSentNanos);
        resume();
      }
      case StoreResponse.HistoryExpired<T> expired -> restartList();
      case StoreResponse.ChangesTooLong<T> tooLong -> restartList();
      case StoreResponse.Restored<T> restored -> {
        notifyListener(listener::storeRestored);
        restartList();
      }
      case StoreResponse.Unavailable<T> u -> {
        if (consecutiveFailures == 0) {
          notifyListener(() -> listener.storeUnreachable(u.reason()));
        }
        timers.schedule(backoff(consecutiveFailures), this::read);
        consecutiveFailures++;
      }
    }
  }

  /**
   * Calls the listener; an exception, which concerns what it was told, does not end the reading.
   */
  private static void notifyListener(Runnable notification) {
    try {
      notification.run();
    } catch (RuntimeException e) {
      EventLog.log(LogEvent.UNEXPECTED_ERROR, "listener of the store", e);
    }
  }

  private void addPage(StoreResponse.Page<T> page) {
    PagedList<T> l = Objects.requireNonNull(list);
    l.add(page);
    if (l.isComplete()) {
      revision = l.watchRevision();
      long newer = l.entries().stream().filter(this::isNewer).count();
      objectRevisions.clear();
      l.entries().forEach(e -> objectRevisions.put(e.name(), e.revision()));
      updateListNext(newer);
      notifyListener(() -> listener.objectsListed(l.entries(), l.unreadable()));
      confirm(readSentNanos);
    }
  }

  private void passOn(StoreResponse.Changes<T> changes) {
    PagedList<T> l = list;
    changes.changes().forEach(this::recordRevision);
    updateListNext(changes.changes().size());
    for (StoreResponse.Change<T> c : changes.changes()) {
      if (l == null || !l.isNewerThan(c)) {
        notifyListener(() -> listener.objectChanged(c));
      }
    }
    revision = Math.max(revision, changes.revision());
    if (l != null && l.isCoveredBy(revision)) {
      list = null;
    }
  }

  private boolean isNewer(StoredEntry<T> entry) {
    Long known = objectRevisions.get(entry.name());
    return known == null || entry.revision() > known;
  }

  private void recordRevision(StoreResponse.Change<T> change) {
    if (change instanceof StoreResponse.Change.Removed<T>) {
      objectRevisions.remove(change.name());
    } else {
      objectRevisions.put(change.name(), change.revision());
    }
  }

  /** Decides how to read next from the number of changes that the last response brought. */
  private void updateListNext(long changes) {
    boolean slow = reader.lastTransferTime().compareTo(SLOW_TRANSFER) >= 0;
    listNext = slow && changes > 0 && changes >= objectRevisions.size();
  }
}
