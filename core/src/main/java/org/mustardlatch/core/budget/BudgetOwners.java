package org.mustardlatch.core.budget;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardlatch.core.membership.Rendezvous;
import org.mustardlatch.core.model.HostId;

/** Owner of each budget and its stand-in: the first two hosts of the region in rendezvous order. */
final class BudgetOwners {
  static final int CANDIDATES = 2;

  private final Map<String, List<HostId>> ranked = new HashMap<>();
  private List<HostId> hosts = List.of();

  void hosts(List<HostId> regionHosts) {
    hosts = List.copyOf(regionHosts);
    ranked.clear();
  }

  /** Returns the owner and its stand-in; fewer when the region has fewer nodes. */
  List<HostId> of(String budget) {
    return ranked.computeIfAbsent(budget, b -> Rendezvous.rank("budget/" + b, hosts, CANDIDATES));
  }
}
