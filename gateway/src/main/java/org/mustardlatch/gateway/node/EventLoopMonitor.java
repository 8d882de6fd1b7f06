package org.mustardlatch.gateway.node;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Logs when the event loop is so far behind that a caller, the load balancer or a peer may take
 * this node for dead: there is more work than processor time, or the process was paused.
 */
final class EventLoopMonitor {
  private static final Duration PERIOD = Duration.ofMillis(250);
  private static final Duration MIN_LOGGED_DELAY = Duration.ofMillis(400);

  private final TimerService timers;
  private long expectedNanos;
  private @Nullable TimerSubscription subscription;

  EventLoopMonitor(TimerService timers) {
    this.timers = timers;
  }

  void start() {
    expectedNanos = timers.nanos() + PERIOD.toNanos();
    subscription = timers.scheduleRepeating(PERIOD, this::check);
  }

  void stop() {
    if (subscription != null) {
      subscription.cancel();
    }
  }

  private void check() {
    long now = timers.nanos();
    long delay = now - expectedNanos;
    expectedNanos = now + PERIOD.toNanos();
    if (delay >= MIN_LOGGED_DELAY.toNanos()) {
      EventLog.log(LogEvent.EVENT_LOOP_DELAYED, delay / 1_000_000);
    }
  }
}
