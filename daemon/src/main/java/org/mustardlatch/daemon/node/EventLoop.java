package org.mustardlatch.daemon.node;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Timer service and executor with a single thread. Tasks run in the order of their scheduled times,
 * so state that is accessed only by tasks of one loop needs no locks. Routing, peers and the ledger
 * each have a loop of their own.
 */
public final class EventLoop implements TimerService, Executor {
  private final ScheduledThreadPoolExecutor executor;

  /** Creates the loop and names its thread, which does not keep the process alive. */
  public EventLoop(String name) {
    executor =
        new ScheduledThreadPoolExecutor(1, Thread.ofPlatform().daemon().name(name).factory());
    executor.setRemoveOnCancelPolicy(true);
  }

  @Override
  public long nanos() {
    return System.nanoTime();
  }

  /** Runs a task on the loop thread as soon as possible; does nothing after {@link #stop}. */
  @Override
  public void execute(Runnable task) {
    try {
      executor.execute(loggingExceptions(task));
    } catch (RejectedExecutionException e) {
      // The loop has stopped. Remaining tasks belong to requests whose connections are closed.
    }
  }

  @Override
  public TimerSubscription schedule(Duration delay, Runnable task) {
    try {
      ScheduledFuture<?> future =
          executor.schedule(
              loggingExceptions(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
      return () -> future.cancel(false);
    } catch (RejectedExecutionException e) {
      return () -> {};
    }
  }

  @Override
  public TimerSubscription scheduleRepeating(Duration period, Runnable task) {
    ScheduledFuture<?> future =
        executor.scheduleWithFixedDelay(
            loggingExceptions(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
    return () -> future.cancel(false);
  }

  /** Interrupts the loop thread and discards tasks that have not started. */
  public void stop() {
    executor.shutdownNow();
  }

  /**
   * Wraps a task so that its runtime exceptions are logged. An exception that left the task would
   * cancel all later runs of a repeating task.
   */
  private static Runnable loggingExceptions(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        EventLog.log(LogEvent.UNEXPECTED_ERROR, "event loop", e);
      }
    };
  }
}
