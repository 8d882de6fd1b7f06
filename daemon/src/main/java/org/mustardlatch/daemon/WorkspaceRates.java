package org.mustardlatch.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.mustardlatch.core.budget.BudgetTerms;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Workspace;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.routing.Member;
import org.mustardlatch.daemon.caller.RequestRateLimiter;
import org.mustardlatch.daemon.node.ManifestInForce;
import org.mustardlatch.daemon.node.Membership;
import org.mustardlatch.daemon.peer.PeerService;

/**
 * Shares the workspaces' rates of requests among the nodes by leases. A budget belongs to one
 * region; the region's part of a rate is its share of the live nodes.
 */
final class WorkspaceRates implements RequestRateLimiter {
  /** Rates of this and more count as no limit. */
  private static final double UNLIMITED = 1_000_000;

  // Leases are answered within 350 ms, see PeerService.spend.
  private static final long LEASE_WAIT_MILLIS = 1_000;

  private final PeerService peers;
  private final Membership members;
  private final ManifestInForce manifest;
  private final RegionId region;
  private volatile Set<String> limited = Set.of();

  WorkspaceRates(PeerService peers, Membership members, ManifestInForce manifest, RegionId region) {
    this.peers = peers;
    this.members = members;
    this.manifest = manifest;
    this.region = region;
  }

  /** Sets the terms anew; called when the manifest or the live nodes changed. */
  void refresh() {
    manifest.current().ifPresent(applied -> configure(applied.manifest()));
  }

  private void configure(Manifest applied) {
    Map<String, BudgetTerms> terms = new HashMap<>();
    double share = regionShare();
    for (Workspace w : applied.workspaces()) {
      if (w.requestsPerSecond() < UNLIMITED) {
        terms.put(budget(w.id()), BudgetTerms.perSecond(w.requestsPerSecond() * share));
      }
    }
    peers.configureBudgets(terms);
    limited = Set.copyOf(terms.keySet());
  }

  private double regionShare() {
    var live = members.live();
    long here = live.stream().map(Member::region).filter(region::equals).count();
    return live.isEmpty() ? 1 : Math.max(1, here) / (double) live.size();
  }

  @Override
  public boolean tryAcquire(WorkspaceId workspace) {
    String budget = budget(workspace);
    if (!limited.contains(budget)) {
      return true;
    }
    CompletableFuture<Boolean> granted = new CompletableFuture<>();
    peers.spend(budget, 1, granted::complete);
    return granted.completeOnTimeout(false, LEASE_WAIT_MILLIS, TimeUnit.MILLISECONDS).join();
  }

  private static String budget(WorkspaceId workspace) {
    return "workspace/" + workspace;
  }
}
