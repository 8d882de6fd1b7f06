package org.mustardlatch.daemon;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions. */
final class Await {
  private static final long POLL_MILLIS = 5;

  private Await() {}

  /** Returns when the condition holds; fails when it does not within the bound. */
  static void until(String condition, Duration bound, BooleanSupplier holds) {
    long end = System.nanoTime() + bound.toNanos();
    CountDownLatch never = new CountDownLatch(1);
    while (!holds.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError(condition + ": not within " + bound);
      }
      try {
        boolean unused = never.await(POLL_MILLIS, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }
}
