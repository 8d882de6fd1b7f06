package org.mustardlatch.core.time;

/** A pending call of a {@link TimerService}. */
@FunctionalInterface
public interface TimerSubscription {
  /** Withdraws the call; does nothing when it was made or withdrawn before. */
  void cancel();
}
