package org.mustardlatch.core.budget;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardlatch.core.membership.RendezvousHash;
import org.mustardlatch.core.model.HostId;

/**
 * Owner and backup of each budget: the first two hosts of the region in rendezvous order. Clients
 * choose the receiver of a lease request by it, and a node checks by it whether it is the owner.
 */
final class BudgetOwnerRanking {
  static final int CANDIDATES = 2;

  private final Map<String, List<HostId>> candidatesByBudget = new HashMap<>();
  private List<HostId> hosts = List.of();

  void setHosts(List<HostId> regionHosts) {
    hosts = List.copyOf(regionHosts);
    candidatesByBudget.clear();
  }

  /** Returns the owner and its backup; fewer hosts if the region has fewer nodes. */
  List<HostId> candidatesFor(String budget) {
    return candidatesByBudget.computeIfAbsent(
        budget, b -> RendezvousHash.rank("budget/" + b, hosts, CANDIDATES));
  }
}
