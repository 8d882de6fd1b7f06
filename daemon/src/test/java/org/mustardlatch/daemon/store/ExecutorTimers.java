package org.mustardlatch.daemon.store;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/** Timer service on a thread of its own, for tests with real connections. */
public final class ExecutorTimers implements TimerService, AutoCloseable {
  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

  @Override
  public long nanos() {
    return System.nanoTime();
  }

  @Override
  public TimerSubscription schedule(Duration delay, Runnable task) {
    Future<?> f = executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    return () -> f.cancel(false);
  }

  @Override
  public TimerSubscription every(Duration period, Runnable task) {
    long nanos = period.toNanos();
    Future<?> f = executor.scheduleAtFixedRate(task, nanos, nanos, TimeUnit.NANOSECONDS);
    return () -> f.cancel(false);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
