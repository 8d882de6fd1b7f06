package org.mustardlatch.wire;

import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/** Timers on a thread pool, for programs and tests that run several nodes in one process. */
public final class ThreadPoolTimerService implements TimerService, AutoCloseable {
  private final ScheduledThreadPoolExecutor executor;

  /** Creates the pool. */
  public ThreadPoolTimerService(int threads) {
    executor = new ScheduledThreadPoolExecutor(threads);
    executor.setRemoveOnCancelPolicy(true);
  }

  @Override
  public long nanos() {
    return System.nanoTime();
  }

  @Override
  public TimerSubscription schedule(Duration delay, Runnable task) {
    ScheduledFuture<?> f = executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    return () -> f.cancel(false);
  }

  /** The first call comes after a random part of the period, so that nodes are not in step. */
  @Override
  public TimerSubscription every(Duration period, Runnable task) {
    long first = ThreadLocalRandom.current().nextLong(period.toNanos());
    ScheduledFuture<?> f =
        executor.scheduleAtFixedRate(task, first, period.toNanos(), TimeUnit.NANOSECONDS);
    return () -> f.cancel(false);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
