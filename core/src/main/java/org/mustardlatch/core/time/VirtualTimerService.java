package org.mustardlatch.core.time;

import java.time.Duration;
import java.util.PriorityQueue;

/**
 * A timer service with virtual time, for tests and replay: time advances only by calls of {@link
 * #advance} and {@link #runNext}, which run the due tasks on the calling thread. Tasks that are due
 * at the same time run in the order in which they were scheduled. Not thread-safe.
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
    RepeatingTask repeatingTask = new RepeatingTask(period, task);
    repeatingTask.nextRun = schedule(period, repeatingTask);
    return repeatingTask;
  }

  /** Advances time by the given duration and runs every task that becomes due, in order. */
  public void advance(Duration duration) {
    long end = nowNanos + duration.toNanos();
    while (!tasks.isEmpty() && tasks.peek().dueNanos <= end) {
      runNext();
    }
    nowNanos = end;
  }

  /** Advances time to the next task and runs it; returns false if no task is scheduled. */
  public boolean runNext() {
    Task t = tasks.poll();
    if (t == null) {
      return false;
    }
    nowNanos = Math.max(nowNanos, t.dueNanos);
    t.action.run();
    return true;
  }

  /** A scheduled task; ordered by due time and then by the order of scheduling. */
  private record Task(long dueNanos, long sequenceNumber, Runnable action)
      implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int timeOrder = Long.compare(dueNanos, other.dueNanos);
      return timeOrder != 0 ? timeOrder : Long.compare(sequenceNumber, other.sequenceNumber);
    }
  }

  /** A periodic task, which schedules its next run after each run. */
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
