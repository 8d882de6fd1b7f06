package org.mustardlatch.core.budget;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLease;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLeaseRequest;

/**
 * Grants leases of the budgets that this node owns, and of others at half the rate (design section
 * 4.11).
 *
 * <p>Error bound, with rate R and lease time L: within any time T the nodes of a region spend at
 * most R(T + 2L), because a bucket accumulates up to RL and a lease can be spent up to L after it
 * was granted. A change of owner adds at most RL. A backup that receives requests while the owner
 * is alive grants half the rate, so that two granting nodes together exceed the rate by at most a
 * half. Not thread-safe.
 */
public final class BudgetOwner {
  private final HostId self;
  private final BudgetOwnerRanking owners = new BudgetOwnerRanking();
  private final Map<String, OwnedBudget> ownedBudgets = new HashMap<>();
  private Map<String, BudgetTerms> terms = Map.of();

  /** Creates an owner without budgets. */
  public BudgetOwner(HostId self) {
    this.self = self;
  }

  /** Sets the terms of all budgets of the region; leases of other budgets are no longer granted. */
  public void configure(Map<String, BudgetTerms> newTerms) {
    terms = Map.copyOf(newTerms);
    ownedBudgets.keySet().retainAll(terms.keySet());
    ownedBudgets.forEach(
        (name, budget) -> budget.setTerms(terms.getOrDefault(name, BudgetTerms.perSecond(0))));
  }

  /** Sets the live nodes of the region, this one included. */
  public void membersChanged(List<HostId> regionHosts) {
    owners.setHosts(regionHosts);
  }

  /**
   * Handles a request and returns the lease to respond with; it has 0 units if none are available.
   */
  public BudgetLease handleRequest(HostId from, BudgetLeaseRequest request, long nowNanos) {
    String name = request.budget();
    BudgetTerms t = terms.get(name);
    if (t == null) {
      return new BudgetLease(name, 0, 0);
    }
    OwnedBudget budget = ownedBudgets.computeIfAbsent(name, n -> new OwnedBudget(t, nowNanos));
    List<HostId> candidates = owners.candidatesFor(name);
    if (candidates.isEmpty() || !candidates.getFirst().equals(self)) {
      budget.halveRate(nowNanos);
    }
    double units = budget.grant(from, request.requestedUnits(), nowNanos);
    return new BudgetLease(name, units, t.leaseTime().toNanos());
  }

  /**
   * Returns the names of the configured budgets for which this node has handled lease requests, as
   * owner or as backup, sorted.
   */
  public List<String> grantedBudgets() {
    return ownedBudgets.keySet().stream().sorted().toList();
  }
}
