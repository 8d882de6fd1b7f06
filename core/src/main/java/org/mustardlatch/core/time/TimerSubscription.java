package org.mustardlatch.core.time;

/** Handle of a task that was scheduled with a {@link TimerService}. */
@FunctionalInterface
public interface TimerSubscription {
  /** Cancels all runs that have not started; has no effect if there are none. */
  void cancel();
}
