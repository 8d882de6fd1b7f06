package org.mustardlatch.core.time;

import java.time.Duration;
import java.util.PriorityQueue;

/**
 * A timer service whose time moves only when it is told to; for tests and replay. Tasks that are
 * due at the same time run in the order in which they were scheduled. Not safe for use by several
 * threads.
 */
public final class VirtualTimerService implements TimerService {
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long nowNanos;
  private long scheduledCount;

  @Override
  public long nanos() {
    return nowNanos;
  }

  @Override
  public TimerSubscription schedule(Duration delay, Runnable task) {
    Task t = new Task(nowNanos + Math.max(0, delay.toNanos()), scheduledCount++, task);
    tasks.add(t);
    return () -> tasks.remove(t);
  }

  @Override
  public TimerSubscription scheduleRepeating(Duration period, Runnable task) {
    if (period.isZero() || period.isNegative()) {
      throw new IllegalArgumentException("period must be greater than zero, got " + period);
    }
    RepeatingTask repeater = new RepeatingTask(period, task);
    repeater.nextRun = schedule(period, repeater);
    return repeater;
  }

  /** Moves time forward by the given duration and runs every task that becomes due, in order. */
  public void advance(Duration duration) {
    long end = nowNanos + duration.toNanos();
    while (!tasks.isEmpty() && tasks.peek().dueNanos <= end) {
      runNext();
    }
    nowNanos = end;
  }

  /** Moves time to the next task and runs it; returns false when there is none. */
  public boolean runNext() {
    Task t = tasks.poll();
    if (t == null) {
      return false;
    }
    nowNanos = Math.max(nowNanos, t.dueNanos);
    t.task.run();
    return true;
  }

  private record Task(long dueNanos, long sequenceNumber, Runnable task) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(dueNanos, other.dueNanos);
      return byTime != 0 ? byTime : Long.compare(sequenceNumber, other.sequenceNumber);
    }
  }

  private final class RepeatingTask implements Runnable, TimerSubscription {
    private final Duration period;
    private final Runnable task;
    private TimerSubscription nextRun = () -> {};
    private boolean cancelled;

    RepeatingTask(Duration period, Runnable task) {
      this.period = period;
      this.task = task;
    }

    @Override
    public void run() {
      task.run();
      if (!cancelled) {
        nextRun = schedule(period, this);
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
      nextRun.cancel();
    }
  }
}
