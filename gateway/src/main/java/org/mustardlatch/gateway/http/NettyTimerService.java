package org.mustardlatch.gateway.http;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/** Timer service that runs its tasks on the event loop that also handles connections. */
public final class NettyTimerService implements TimerService {
  private final EventExecutor loop;

  /** Creates a service that runs its tasks on the given event loop. */
  public NettyTimerService(EventExecutor loop) {
    this.loop = loop;
  }

  @Override
  public long nanos() {
    return System.nanoTime();
  }

  @Override
  public TimerSubscription schedule(Duration delay, Runnable task) {
    long nanos = Math.max(0, delay.toNanos());
    ScheduledFuture<?> f = loop.schedule(loggingExceptions(task), nanos, TimeUnit.NANOSECONDS);
    return () -> f.cancel(false);
  }

  @Override
  public TimerSubscription scheduleRepeating(Duration period, Runnable task) {
    long nanos = period.toNanos();
    ScheduledFuture<?> f =
        loop.scheduleWithFixedDelay(loggingExceptions(task), nanos, nanos, TimeUnit.NANOSECONDS);
    return () -> f.cancel(false);
  }

  /** Wraps a task to log its exceptions, since an uncaught one would end a repeated task. */
  private static Runnable loggingExceptions(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        EventLog.log(LogEvent.UNEXPECTED_ERROR, "timer", e);
      }
    };
  }
}
