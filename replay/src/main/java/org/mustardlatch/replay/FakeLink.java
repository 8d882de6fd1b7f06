package org.mustardlatch.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.mustardlatch.core.time.TimerService;

/** A link of limited rate that the transfers in progress share equally. */
final class FakeLink {
  /** Transfers with less than this left are done; covers rounding of the shares. */
  private static final double DONE_BYTES = 0.5;

  private final TimerService timers;
  private final double bytesPerSecond;
  private final List<Transfer> transfers = new ArrayList<>();
  private double slowdown = 1;
  private boolean cut;
  private long updatedNanos;
  private long generation;
  private long carriedBytes;

  FakeLink(TimerService timers, double bytesPerSecond) {
    this.timers = timers;
    this.bytesPerSecond = bytesPerSecond;
  }

  /** Starts a transfer and calls the task when all bytes have arrived. */
  void transfer(long bytes, Runnable done) {
    advance();
    carriedBytes += bytes;
    transfers.add(new Transfer(bytes, done));
    plan();
  }

  /** Counts bytes that are too few at a time to be modelled as a transfer. */
  void count(long bytes) {
    carriedBytes += bytes;
  }

  /** Sets by how much the rate is lower than normal, 1 or more. */
  void slowDown(double factor) {
    advance();
    slowdown = factor;
    plan();
  }

  /** Sets whether the link carries nothing. */
  void setCut(boolean cut) {
    advance();
    this.cut = cut;
    plan();
  }

  boolean isCut() {
    return cut;
  }

  long carriedBytes() {
    return carriedBytes;
  }

  private double share() {
    return cut ? 0 : bytesPerSecond / slowdown / transfers.size();
  }

  private void advance() {
    long now = timers.nanos();
    double moved = transfers.isEmpty() ? 0 : share() * (now - updatedNanos) / 1e9;
    transfers.forEach(t -> t.remaining -= moved);
    updatedNanos = now;
  }

  private void plan() {
    long planned = ++generation;
    if (transfers.isEmpty() || cut) {
      return;
    }
    double least = transfers.stream().mapToDouble(t -> t.remaining).min().orElseThrow();
    long nanos = (long) Math.ceil(Math.max(0, least) / share() * 1e9);
    timers.schedule(Duration.ofNanos(nanos), () -> finish(planned));
  }

  private void finish(long planned) {
    if (planned != generation) {
      return;
    }
    advance();
    List<Transfer> done = transfers.stream().filter(t -> t.remaining < DONE_BYTES).toList();
    transfers.removeAll(done);
    plan();
    done.forEach(t -> t.task.run());
  }

  private static final class Transfer {
    private final Runnable task;
    private double remaining;

    Transfer(double bytes, Runnable task) {
      this.remaining = bytes;
      this.task = task;
    }
  }
}
