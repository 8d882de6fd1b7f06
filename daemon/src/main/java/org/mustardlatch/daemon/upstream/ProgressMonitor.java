package org.mustardlatch.daemon.upstream;

import java.time.Duration;
import okhttp3.Call;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/**
 * Cancels a call that makes no progress. One timer serves all progress of a call: when it fires
 * early it is set again for the rest of the time, so that a token costs no timer operation.
 */
final class ProgressMonitor {
  private final TimerService timers;
  private final Call call;
  private volatile long deadlineNanos;
  private volatile boolean expired;
  private volatile boolean closed;
  private volatile TimerSubscription timer = () -> {};

  ProgressMonitor(TimerService timers, Call call, Duration limit) {
    this.timers = timers;
    this.call = call;
    recordProgress(limit);
    cancelIfExpired();
  }

  /** Reports progress; the next must come within the limit. */
  void recordProgress(Duration limit) {
    deadlineNanos = timers.nanos() + limit.toNanos();
  }

  /** Returns whether the call was cancelled because it made no progress. */
  boolean expired() {
    return expired;
  }

  void close() {
    closed = true;
    timer.cancel();
  }

  private void cancelIfExpired() {
    if (closed) {
      return;
    }
    long leftNanos = deadlineNanos - timers.nanos();
    if (leftNanos <= 0) {
      expired = true;
      call.cancel();
    } else {
      timer = timers.schedule(Duration.ofNanos(leftNanos), this::cancelIfExpired);
    }
  }
}
