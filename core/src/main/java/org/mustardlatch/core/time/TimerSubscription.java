package org.mustardlatch.core.time;

/** Handle of a task that was scheduled with a {@link TimerService}. */
@FunctionalInterface
public interface TimerSubscription {
  /** Cancels the task; has no effect if it has run already or was cancelled before. */
  void cancel();
}
