package org.mustardlatch.daemon.upstream;

import java.time.Duration;
import okhttp3.Call;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/**
 * Cancels an engine call that makes no progress in time. Recording progress only moves the
 * deadline; a timer that fires before the deadline is scheduled again for the remaining time, so
 * that a token costs no timer operation.
 */
final class ProgressMonitor {
  private final TimerService timers;
  private final Call call;
  private volatile long deadlineNanos;
  private volatile boolean expired;
  private volatile boolean closed;
  private volatile TimerSubscription timer = () -> {};

  ProgressMonitor(TimerService timers, Call call, Duration timeout) {
    this.timers = timers;
    this.call = call;
    recordProgress(timeout);
    cancelIfExpired();
  }

  /** Records progress; the next progress is required within the timeout. */
  void recordProgress(Duration timeout) {
    deadlineNanos = timers.nanos() + timeout.toNanos();
  }

  /** Returns whether the call was cancelled because it made no progress. */
  boolean expired() {
    return expired;
  }

  /** Ends the monitoring; the call is not cancelled any more. */
  void close() {
    closed = true;
    timer.cancel();
  }

  private void cancelIfExpired() {
    if (closed) {
      return;
    }
    long remainingNanos = deadlineNanos - timers.nanos();
    if (remainingNanos <= 0) {
      expired = true;
      call.cancel();
    } else {
      timer = timers.schedule(Duration.ofNanos(remainingNanos), this::cancelIfExpired);
    }
  }
}
