package org.mustardlatch.core.budget;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;

/**
 * The units of one allowance that are leased to this node, and the demand of its callers. Load: one
 * instance for each workspace with recent requests, a few leases each.
 */
public final class AllowanceLeases {
  private static final class Lease {
    final HostId owner;
    double units;
    final long endNanos;

    Lease(HostId owner, double units, long endNanos) {
      this.owner = owner;
      this.units = units;
      this.endNanos = endNanos;
    }
  }

  private static final long WINDOW_NANOS = AllowanceTerms.LEASE_TIME.toNanos();

  // A single request says nothing about the next one.
  private static final int MIN_REQUESTS_TO_EXPECT_MORE = 2;

  private final ArrayDeque<Lease> leases = new ArrayDeque<>();
  private final Map<HostId, Double> expiredUnits = new HashMap<>();
  private long windowStartNanos;
  private double currentDemand;
  private double previousDemand;
  private int currentRequests;
  private int previousRequests;

  /** Owner of the units added last; units of a refunded request are returned to it. */
  private @Nullable HostId lastOwner;

  /** Creates an allowance without leased units. */
  public AllowanceLeases(long nowNanos) {
    windowStartNanos = nowNanos;
  }

  /** Records the cost of a new request. */
  public void recordDemand(double units, long nowNanos) {
    advanceWindow(nowNanos);
    currentDemand += units;
    currentRequests++;
  }

  /** Adds a lease of an owner. */
  public void add(HostId owner, double units, long validNanos, long nowNanos) {
    lastOwner = owner;
    leases.addLast(new Lease(owner, units, nowNanos + validNanos));
  }

  /** Returns units of a request that reached no server; they may be spent for one lease time. */
  public void refund(HostId self, double units, long nowNanos) {
    HostId owner = lastOwner == null ? self : lastOwner;
    leases.addLast(new Lease(owner, units, nowNanos + WINDOW_NANOS));
  }

  /** Spends the units and returns true, or returns false if fewer are leased. */
  public boolean trySpend(double units, long nowNanos) {
    if (availableUnits(nowNanos) < units) {
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

  /** Returns the units that may be spent now. */
  public double availableUnits(long nowNanos) {
    expire(nowNanos);
    return leases.stream().mapToDouble(l -> l.units).sum();
  }

  /** Returns the units to lease ahead of the requests that are expected in one lease time. */
  public double unitsToLeaseAhead(long nowNanos) {
    advanceWindow(nowNanos);
    if (previousRequests < MIN_REQUESTS_TO_EXPECT_MORE) {
      return 0;
    }
    double available = availableUnits(nowNanos);
    return available >= previousDemand / 2 ? 0 : previousDemand - available;
  }

  /**
   * Removes and returns the units whose lease has ended unspent, by the owner to return them to.
   */
  public Map<HostId, Double> takeExpired(long nowNanos) {
    expire(nowNanos);
    Map<HostId, Double> taken = Map.copyOf(expiredUnits);
    expiredUnits.clear();
    return taken;
  }

  /** Returns whether there are no units and there was no demand in the last two lease times. */
  public boolean isIdle(long nowNanos) {
    advanceWindow(nowNanos);
    return leases.isEmpty()
        && expiredUnits.isEmpty()
        && currentRequests == 0
        && previousRequests == 0;
  }

  private void expire(long now) {
    Iterator<Lease> all = leases.iterator();
    while (all.hasNext()) {
      Lease l = all.next();
      if (now - l.endNanos >= 0) {
        expiredUnits.merge(l.owner, l.units, Double::sum);
        all.remove();
      }
    }
  }

  private void advanceWindow(long now) {
    long windows = (now - windowStartNanos) / WINDOW_NANOS;
    if (windows > 0) {
      previousDemand = windows == 1 ? currentDemand : 0;
      previousRequests = windows == 1 ? currentRequests : 0;
      currentDemand = 0;
      currentRequests = 0;
      windowStartNanos += windows * WINDOW_NANOS;
    }
  }
}
