package org.mustardlatch.core.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLease;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLeaseRequest;

/**
 * Grants the units of the allowances that this node owns. Load: the lease requests of 390 nodes for
 * the 2 or 3 allowances of 480 that a node owns.
 *
 * <p>An allowance with rate R and burst B has two owners. Each grants R/2 from a bucket of B/2, so
 * that one of them still serves half of the allowance when the other one dies, and both together
 * never exceed it. With lease time L and longest wait W, requests sent in any time T get at most
 * R(T + L + W) + B units. A new owner starts with a part of what the bound permits in addition (see
 * {@link AllowanceTerms}), because the one before may just have granted a whole burst; with that
 * part being zero, it starts empty. An owner that sees a part of the fleet grants this part of the
 * rate and of the burst. A request that costs more than a bucket exceeds the bound by at most its
 * cost per owner.
 *
 * <p>Deterministic; not thread-safe.
 */
public final class AllowanceOwner {
  private final Map<String, AllowanceBucket> buckets = new HashMap<>();
  private final Map<String, Map<HostId, Double>> returnableUnits = new HashMap<>();

  /** Creates an owner without allowances. */
  public AllowanceOwner() {}

  /**
   * Sets the terms of an allowance that this node owns, or the part of the fleet that it sees.
   *
   * @param visibleShare part of the fleet's nodes that this node sees, 0 to 1
   */
  public void own(String name, AllowanceTerms terms, double visibleShare, long nowNanos) {
    double perSecond = terms.ownerPerSecond(visibleShare);
    double capacity = terms.ownerCapacity(visibleShare);
    AllowanceBucket bucket = buckets.get(name);
    if (bucket == null) {
      buckets.put(
          name,
          new AllowanceBucket(
              Math.min(capacity, terms.newOwnerUnits()), capacity, perSecond, nowNanos));
    } else {
      bucket.setTerms(capacity, perSecond, nowNanos);
    }
  }

  /**
   * Drops the allowances that this node does not own any more. Their next owner grants from a
   * bucket of its own, so units that were left here must not be granted later.
   */
  public void retainOnly(Set<String> owned) {
    buckets.keySet().retainAll(owned);
    returnableUnits.keySet().retainAll(owned);
  }

  /**
   * Handles a request for units, all of which are granted or none, or a return of unspent units as
   * a request for a negative number.
   *
   * @return the lease to respond with; without units, it has the time after which the request may
   *     be repeated. For a return of units, its units and its time are 0
   */
  public BudgetLease handleRequest(HostId from, BudgetLeaseRequest request, long nowNanos) {
    String name = request.budget();
    double units = request.requestedUnits();
    AllowanceBucket bucket = buckets.get(name);
    if (bucket == null || !Double.isFinite(units) || units == 0) {
      return new BudgetLease(name, 0, 0);
    }
    Map<HostId, Double> returnable = returnableUnits.computeIfAbsent(name, n -> new HashMap<>());
    if (units < 0) {
      double accepted = Math.min(-units, returnable.getOrDefault(from, 0.0));
      returnable.merge(from, -accepted, Double::sum);
      bucket.putBack(accepted, nowNanos);
      return new BudgetLease(name, 0, 0);
    }
    if (bucket.tryTake(units, nowNanos)) {
      returnable.merge(from, units, Double::sum);
      return new BudgetLease(name, units, AllowanceTerms.LEASE_TIME.toNanos());
    }
    return new BudgetLease(name, 0, bucket.nanosUntilTurn(units, nowNanos));
  }
}
