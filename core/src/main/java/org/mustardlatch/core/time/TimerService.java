package org.mustardlatch.core.time;

import java.time.Duration;

/** Calls tasks at a later time. Parts subscribe to it instead of owning threads. */
public interface TimerService extends MonotonicClock {
  /**
   * Calls a task once.
   *
   * @param delay time from now; zero or less means as soon as possible
   * @param task called on the thread of the service, must not block
   * @return the subscription, to withdraw the call
   */
  TimerSubscription schedule(Duration delay, Runnable task);

  /**
   * Calls a task repeatedly, the first time after one period, until the subscription is cancelled.
   *
   * @param period time between calls, greater than zero
   * @param task called on the thread of the service, must not block
   * @return the subscription, to end the calls
   */
  TimerSubscription scheduleRepeating(Duration period, Runnable task);
}
