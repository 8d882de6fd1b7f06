package org.mustardlatch.core.budget;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Leases that a client has of one budget, the spends that wait for a lease, and the state of its
 * lease requests.
 */
public final class LeasedBudget {
  private static final class Lease {
    double units;
    final long expiresNanos;

    Lease(double units, long expiresNanos) {
      this.units = units;
      this.expiresNanos = expiresNanos;
    }
  }

  record WaitingSpend(long ticket, double units, long queuedNanos) {}

  private final ArrayDeque<Lease> leases = new ArrayDeque<>();
  private final ArrayDeque<WaitingSpend> waitingSpends = new ArrayDeque<>();

  /** Units requested by spends in the previous window; 0 if there were none. */
  private double previousDemand;

  /** Units requested by spends in the current window so far. */
  private double currentDemand;

  /** Length of the demand windows: the lease time last received, or the default one. */
  private long windowNanos;

  private long windowStartNanos;
  long lastRequestNanos;
  boolean requestPending;
  int unansweredRequests;

  /** Receiver of lease requests: 0 is the owner of the budget, 1 its backup. */
  int candidateIndex;

  long backupSinceNanos;

  /**
   * Creates a budget without leases.
   *
   * @param windowNanos length of the windows in which demand is counted, nanoseconds
   * @param now monotonic time, nanoseconds
   */
  public LeasedBudget(long windowNanos, long now) {
    this.windowNanos = windowNanos;
    this.windowStartNanos = now;
  }

  /**
   * Acquires units and returns true if enough are leased; otherwise queues the spend and returns
   * false.
   */
  boolean spend(long ticket, double units, long now) {
    recordDemand(units, now);
    if (waitingSpends.isEmpty() && tryAcquire(units, now)) {
      return true;
    }
    waitingSpends.addLast(new WaitingSpend(ticket, units, now));
    return false;
  }

  /**
   * Spends one unit if one is leased.
   *
   * @param isNewDemand whether the call is the first one for what the unit is needed for
   * @param now monotonic time, nanoseconds
   * @return whether a unit was spent
   */
  public boolean trySpend(boolean isNewDemand, long now) {
    recordDemand(isNewDemand ? 1 : 0, now);
    return tryAcquire(1, now);
  }

  /**
   * Adds a lease.
   *
   * @param validNanos time for which it may be spent, nanoseconds
   * @param now monotonic time, nanoseconds
   */
  public void addLease(double units, long validNanos, long now) {
    windowNanos = Math.max(1, validNanos);
    leases.addLast(new Lease(units, now + validNanos));
  }

  /** Grants waiting spends in order while the leased units suffice. */
  void grantWaiting(long now, Consumer<BudgetCommand> out) {
    while (!waitingSpends.isEmpty() && tryAcquire(waitingSpends.getFirst().units(), now)) {
      out.accept(new BudgetCommand.Granted(waitingSpends.removeFirst().ticket()));
    }
  }

  /** Refuses the spends that have waited for at least {@code maxWaitNanos}. */
  void refuseExpired(long now, long maxWaitNanos, Consumer<BudgetCommand> out) {
    while (!waitingSpends.isEmpty()
        && now - waitingSpends.getFirst().queuedNanos() >= maxWaitNanos) {
      out.accept(new BudgetCommand.Refused(waitingSpends.removeFirst().ticket()));
    }
  }

  boolean hasWaitingSpends() {
    return !waitingSpends.isEmpty();
  }

  double availableUnits(long now) {
    dropExpired(now);
    return leases.stream().mapToDouble(l -> l.units).sum();
  }

  /** Returns the demand expected for one lease time: the larger one of the last two windows. */
  double expectedUnits(long now) {
    recordDemand(0, now);
    return Math.max(previousDemand, currentDemand);
  }

  /**
   * Returns the units to request; 0 if enough are leased.
   *
   * @param now monotonic time, nanoseconds
   */
  public double unitsToRequest(long now) {
    double waitingUnits = waitingSpends.stream().mapToDouble(WaitingSpend::units).sum();
    double available = availableUnits(now);
    double expectedUnits = expectedUnits(now);
    if (waitingUnits == 0 && available >= expectedUnits / 2) {
      return 0;
    }
    return Math.max(0, waitingUnits + expectedUnits - available);
  }

  /**
   * Returns whether no units are leased, no spends wait and there was no demand in the last two
   * windows.
   */
  boolean isIdle(long now) {
    return waitingSpends.isEmpty() && availableUnits(now) == 0 && expectedUnits(now) == 0;
  }

  private boolean tryAcquire(double units, long now) {
    if (availableUnits(now) < units) {
      return false;
    }
    double remaining = units;
    while (remaining > 0 && !leases.isEmpty()) {
      Lease l = leases.getFirst();
      double part = Math.min(remaining, l.units);
      l.units -= part;
      remaining -= part;
      if (l.units <= 0) {
        leases.removeFirst();
      }
    }
    return true;
  }

  private void dropExpired(long now) {
    leases.removeIf(l -> now - l.expiresNanos >= 0);
  }

  private void recordDemand(double units, long now) {
    long windows = (now - windowStartNanos) / windowNanos;
    if (windows > 0) {
      previousDemand = windows == 1 ? currentDemand : 0;
      currentDemand = 0;
      windowStartNanos += windows * windowNanos;
    }
    currentDemand += units;
  }
}
