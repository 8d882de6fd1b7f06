package org.mustardlatch.core.budget;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.mustardlatch.core.model.HostId;

/** A token bucket whose tokens go to clients as leases, shared by max-min fairness. */
final class OwnedBudget {
  private record Demand(double units, long requestedNanos) {}

  private final Map<HostId, Demand> demands = new HashMap<>();
  private BudgetTerms terms;
  private double tokens;
  private long refilledNanos;
  private long halfRateUntilNanos;

  /** A new owner starts half full, because leases of the owner before it may still be spent. */
  OwnedBudget(BudgetTerms terms, long now) {
    this.terms = terms;
    this.tokens = terms.capacity() / 2;
    this.refilledNanos = now;
    this.halfRateUntilNanos = now + terms.leaseTime().toNanos();
  }

  void terms(BudgetTerms newTerms) {
    terms = newTerms;
    tokens = Math.min(tokens, newTerms.capacity());
  }

  /** Another node may still grant from this budget; half the rate until a lease time from now. */
  void halveRate(long now) {
    halfRateUntilNanos = now + terms.leaseTime().toNanos();
  }

  /** Returns the units granted; 0, or at least the lesser of 1 and what was wanted. */
  double grant(HostId from, double wanted, long now) {
    refill(now);
    demands.put(from, new Demand(wanted, now));
    dropStaleDemands(now);
    double least = Math.min(1, wanted);
    if (tokens < least || wanted <= 0) {
      return 0;
    }
    double units = Math.min(Math.min(wanted, tokens), Math.max(least, fairShare()));
    tokens -= units;
    return units;
  }

  private void refill(long now) {
    double full = terms.unitsPerSecond();
    long cautious = Math.max(0, Math.min(now, halfRateUntilNanos) - refilledNanos);
    long normal = Math.max(0, now - refilledNanos - cautious);
    tokens = Math.min(terms.capacity(), tokens + full * (cautious / 2.0 + normal) / 1e9);
    refilledNanos = now;
  }

  private void dropStaleDemands(long now) {
    Iterator<Demand> all = demands.values().iterator();
    while (all.hasNext()) {
      if (now - all.next().requestedNanos() > 2 * terms.leaseTime().toNanos()) {
        all.remove();
      }
    }
  }

  /** Returns the largest lease such that leases up to it, one for each client, fit the rate. */
  private double fairShare() {
    double[] wanted = demands.values().stream().mapToDouble(Demand::units).sorted().toArray();
    double left = terms.capacity();
    for (int i = 0; i < wanted.length; i++) {
      double equal = left / (wanted.length - i);
      if (wanted[i] > equal) {
        return equal;
      }
      left -= wanted[i];
    }
    return Double.MAX_VALUE;
  }
}
