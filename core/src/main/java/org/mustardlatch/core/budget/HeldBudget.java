package org.mustardlatch.core.budget;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/** What a client holds of one budget, and the spends that wait for a lease. */
final class HeldBudget {
  private static final class Lease {
    double units;
    final long untilNanos;

    Lease(double units, long untilNanos) {
      this.units = units;
      this.untilNanos = untilNanos;
    }
  }

  record Waiting(long ticket, double units, long atNanos) {}

  private final ArrayDeque<Lease> leases = new ArrayDeque<>();
  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
  private double demandBefore;
  private double demandNow;
  private long windowNanos;
  private long windowSinceNanos;
  long askedNanos;
  boolean asked;
  int unanswered;
  int candidate;
  long fellBackNanos;

  HeldBudget(long windowNanos, long now) {
    this.windowNanos = windowNanos;
    this.windowSinceNanos = now;
  }

  /** Takes units when they are held; otherwise the spend waits. */
  boolean spend(long ticket, double units, long now) {
    note(units, now);
    if (waiting.isEmpty() && take(units, now)) {
      return true;
    }
    waiting.addLast(new Waiting(ticket, units, now));
    return false;
  }

  void add(double units, long validNanos, long now) {
    windowNanos = Math.max(1, validNanos);
    leases.addLast(new Lease(units, now + validNanos));
  }

  /** Grants the waiting spends that fit what is held, in order. */
  void serve(long now, Consumer<BudgetCommand> out) {
    while (!waiting.isEmpty() && take(waiting.getFirst().units(), now)) {
      out.accept(new BudgetCommand.Granted(waiting.removeFirst().ticket()));
    }
  }

  /** Refuses the spends that waited for too long. */
  void expire(long now, long maxWaitNanos, Consumer<BudgetCommand> out) {
    while (!waiting.isEmpty() && now - waiting.getFirst().atNanos() >= maxWaitNanos) {
      out.accept(new BudgetCommand.Refused(waiting.removeFirst().ticket()));
    }
  }

  boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  double held(long now) {
    drop(now);
    return leases.stream().mapToDouble(l -> l.units).sum();
  }

  /** Returns the units expected to be spent within one lease time. */
  double expected(long now) {
    note(0, now);
    return Math.max(demandBefore, demandNow);
  }

  /** Returns the units to ask for, 0 when enough is held. */
  double wanted(long now) {
    double pending = waiting.stream().mapToDouble(Waiting::units).sum();
    double held = held(now);
    double expected = expected(now);
    if (pending == 0 && held >= expected / 2) {
      return 0;
    }
    return Math.max(0, pending + expected - held);
  }

  /** Returns whether nothing is held, waits or was spent lately. */
  boolean idle(long now) {
    return waiting.isEmpty() && held(now) == 0 && expected(now) == 0;
  }

  private boolean take(double units, long now) {
    if (held(now) < units) {
      return false;
    }
    double left = units;
    while (left > 0 && !leases.isEmpty()) {
      Lease l = leases.getFirst();
      double part = Math.min(left, l.units);
      l.units -= part;
      left -= part;
      if (l.units <= 0) {
        leases.removeFirst();
      }
    }
    return true;
  }

  private void drop(long now) {
    leases.removeIf(l -> now - l.untilNanos >= 0);
  }

  private void note(double units, long now) {
    long windows = (now - windowSinceNanos) / windowNanos;
    if (windows > 0) {
      demandBefore = windows == 1 ? demandNow : 0;
      demandNow = 0;
      windowSinceNanos += windows * windowNanos;
    }
    demandNow += units;
  }
}
