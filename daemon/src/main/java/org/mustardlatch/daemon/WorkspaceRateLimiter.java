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
import org.mustardlatch.daemon.node.ActiveManifest;
import org.mustardlatch.daemon.node.Membership;
import org.mustardlatch.daemon.peer.PeerService;

/**
 * Shares the workspaces' rates of requests among the nodes by leases. A budget belongs to one
 * region; the region's part of a rate is its share of the live nodes.
 */
final class WorkspaceRateLimiter implements RequestRateLimiter {
  /** Rates of this and more count as no limit. */
  private static final double UNLIMITED_REQUESTS_PER_SECOND = 1_000_000;

  // Leases are answered within 350 ms, see PeerService.spend.
  private static final long GRANT_TIMEOUT_MILLIS = 1_000;

  private final PeerService peers;
  private final Membership membership;
  private final ActiveManifest activeManifest;
  private final RegionId region;
  private volatile Set<String> limitedBudgets = Set.of();

  WorkspaceRateLimiter(PeerService peers, Membership members, ActiveManifest manifest, RegionId region) {
    this.peers = peers;
    this.membership = members;
    this.activeManifest = manifest;
    this.region = region;
  }

  /** Sets the terms anew; called when the manifest or the live nodes changed. */
  void updateBudgets() {
    activeManifest.current().ifPresent(applied -> configure(applied.manifest()));
  }

  private void configure(Manifest applied) {
    Map<String, BudgetTerms> terms = new HashMap<>();
    double share = regionShare();
    for (Workspace w : applied.workspaces()) {
      if (w.requestsPerSecond() < UNLIMITED_REQUESTS_PER_SECOND) {
        terms.put(budgetName(w.id()), BudgetTerms.perSecond(w.requestsPerSecond() * share));
      }
    }
    peers.configureBudgets(terms);
    limitedBudgets = Set.copyOf(terms.keySet());
  }

  private double regionShare() {
    var live = membership.liveMembers();
    long here = live.stream().map(Member::region).filter(region::equals).count();
    return live.isEmpty() ? 1 : Math.max(1, here) / (double) live.size();
  }

  @Override
  public boolean tryAcquire(WorkspaceId workspace) {
    String budget = budgetName(workspace);
    if (!limitedBudgets.contains(budget)) {
      return true;
    }
    CompletableFuture<Boolean> granted = new CompletableFuture<>();
    peers.spend(budget, 1, granted::complete);
    return granted.completeOnTimeout(false, GRANT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
  }

  private static String budgetName(WorkspaceId workspace) {
    return "workspace/" + workspace;
  }
}
