package org.mustardlatch.core.time;

import java.time.Duration;

/**
 * Runs tasks after a delay or periodically. Components schedule tasks here instead of running
 * threads of their own.
 */
public interface TimerService extends MonotonicClock {
  /**
   * Schedules a task to run once.
   *
   * @param delay time until the task runs; zero or less means as soon as possible
   * @param task runs on the thread of the service and must not block
   * @return handle that cancels the task
   */
  TimerSubscription schedule(Duration delay, Runnable task);

  /**
   * Schedules a task to run periodically until it is cancelled. The first run is after one period.
   *
   * @param period time between runs, greater than zero
   * @param task runs on the thread of the service and must not block
   * @return handle that cancels all further runs
   */
  TimerSubscription scheduleRepeating(Duration period, Runnable task);
}
