package org.mustardlatch.core.budget;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.mustardlatch.core.model.HostId;

/**
 * Token bucket of one budget. Its tokens are the units of the budget; they are leased to clients
 * and shared by max-min fairness.
 */
public final class OwnedBudget {
  private record Demand(double units, long requestedNanos) {}

  private final Map<HostId, Demand> demands = new HashMap<>();
  private BudgetTerms terms;
  private double tokens;
  private long refilledNanos;
  private long halfRateUntilNanos;

  /**
   * Creates a half-full bucket, because leases of the previous owner may still be spent.
   *
   * @param now monotonic time, nanoseconds
   */
  public OwnedBudget(BudgetTerms terms, long now) {
    this.terms = terms;
    this.tokens = terms.capacity() / 2;
    this.refilledNanos = now;
    this.halfRateUntilNanos = now + terms.leaseTime().toNanos();
  }

  /**
   * Changes the terms.
   *
   * @param now monotonic time, nanoseconds; the earlier terms hold for the time before
   */
  public void setTerms(BudgetTerms newTerms, long now) {
    refill(now);
    setTerms(newTerms);
  }

  void setTerms(BudgetTerms newTerms) {
    terms = newTerms;
    tokens = Math.min(tokens, newTerms.capacity());
  }

  /**
   * Returns the units that may be granted.
   *
   * @param now monotonic time, nanoseconds
   */
  public double availableUnits(long now) {
    refill(now);
    return tokens;
  }

  /**
   * Halves the rate for one lease time from now, because another node may still grant from this
   * budget.
   */
  void halveRate(long now) {
    halfRateUntilNanos = now + terms.leaseTime().toNanos();
  }

  /**
   * Returns the demand of all clients within the last two lease times, as a multiple of that of one
   * client, which has requested units.
   */
  public double relativeDemand(HostId client) {
    double total = demands.values().stream().mapToDouble(Demand::units).sum();
    Demand own = demands.get(client);
    return own == null || own.units() <= 0 ? 1 : total / own.units();
  }

  /**
   * Grants units to a client.
   *
   * @param now monotonic time, nanoseconds
   * @return the units granted; 0, or at least the lesser of 1 and the requested units
   */
  public double grant(HostId from, double requestedUnits, long now) {
    refill(now);
    demands.put(from, new Demand(requestedUnits, now));
    dropStaleDemands(now);
    double minimum = Math.min(1, requestedUnits);
    if (tokens < minimum || requestedUnits <= 0) {
      return 0;
    }
    double units = Math.min(Math.min(requestedUnits, tokens), Math.max(minimum, fairShare()));
    tokens -= units;
    return units;
  }

  private void refill(long now) {
    double unitsPerSecond = terms.unitsPerSecond();
    long halfRateNanos = Math.max(0, Math.min(now, halfRateUntilNanos) - refilledNanos);
    long fullRateNanos = Math.max(0, now - refilledNanos - halfRateNanos);
    tokens =
        Math.min(
            terms.capacity(),
            tokens + unitsPerSecond * (halfRateNanos / 2.0 + fullRateNanos) / 1e9);
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

  /**
   * Returns the largest limit such that the last requests of all clients, each reduced to the
   * limit, together fit the capacity; {@link Double#MAX_VALUE} if they fit unreduced.
   */
  private double fairShare() {
    double[] requestedUnits =
        demands.values().stream().mapToDouble(Demand::units).sorted().toArray();
    double remaining = terms.capacity();
    for (int i = 0; i < requestedUnits.length; i++) {
      double equal = remaining / (requestedUnits.length - i);
      if (requestedUnits[i] > equal) {
        return equal;
      }
      remaining -= requestedUnits[i];
    }
    return Double.MAX_VALUE;
  }
}
