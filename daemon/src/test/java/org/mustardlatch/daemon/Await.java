package org.mustardlatch.daemon;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Polls conditions until they hold. */
final class Await {
  private static final long POLL_MILLIS = 5;

  private Await() {}

  /**
   * Returns when the condition holds.
   *
   * @param description names the condition in the failure message
   * @throws AssertionError if the condition does not hold before the timeout expires
   */
  static void until(String description, Duration timeout, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    CountDownLatch never = new CountDownLatch(1);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new AssertionError(description + ": not within " + timeout);
      }
      try {
        boolean unused = never.await(POLL_MILLIS, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }
}
