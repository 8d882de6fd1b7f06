package org.mustardlatch.wire;

import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/** Timer service on a thread pool, for tests and benchmarks with several nodes in one process. */
public final class ThreadPoolTimerService implements TimerService, AutoCloseable {
  private final ScheduledThreadPoolExecutor executor;

  /** Creates a pool with the given number of threads. */
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

  /**
   * Runs a task periodically, first after a random part of the period to desynchronise the nodes.
   */
  @Override
  public TimerSubscription scheduleRepeating(Duration period, Runnable task) {
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
