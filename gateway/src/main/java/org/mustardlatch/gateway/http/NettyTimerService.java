package org.mustardlatch.gateway.http;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/** The timer service of the data path: tasks run on the thread that also handles connections. */
public final class NettyTimerService implements TimerService {
  private final EventExecutor loop;

  /** Creates a service on an event loop. */
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
    ScheduledFuture<?> f = loop.schedule(guarded(task), nanos, TimeUnit.NANOSECONDS);
    return () -> f.cancel(false);
  }

  @Override
  public TimerSubscription scheduleRepeating(Duration period, Runnable task) {
    long nanos = period.toNanos();
    ScheduledFuture<?> f =
        loop.scheduleWithFixedDelay(guarded(task), nanos, nanos, TimeUnit.NANOSECONDS);
    return () -> f.cancel(false);
  }

  /** An exception must not end a repeated task, so it is logged here. */
  private static Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        EventLog.log(LogEvent.UNEXPECTED_ERROR, "timer", e);
      }
    };
  }
}
