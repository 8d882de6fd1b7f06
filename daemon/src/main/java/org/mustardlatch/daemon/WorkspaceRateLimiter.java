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
 * Enforces the request rates of workspaces across nodes, using budgets whose units are leased to
 * the nodes. Each budget covers one region. The region receives a part of the workspace rate in
 * proportion to its number of live nodes.
 */
final class WorkspaceRateLimiter implements RequestRateLimiter {
  /** A rate of this value or more means that the workspace is not limited. */
  private static final double UNLIMITED_REQUESTS_PER_SECOND = 1_000_000;

  // PeerService.spend reports its result within about 350 ms.
  private static final long GRANT_TIMEOUT_MILLIS = 1_000;

  private final PeerService peers;
  private final Membership membership;
  private final ActiveManifest activeManifest;
  private final RegionId region;
  private volatile Set<String> limitedBudgets = Set.of();

  WorkspaceRateLimiter(
      PeerService peers, Membership membership, ActiveManifest activeManifest, RegionId region) {
    this.peers = peers;
    this.membership = membership;
    this.activeManifest = activeManifest;
    this.region = region;
  }

  /** Updates the budget terms. Call it after the manifest or the live nodes have changed. */
  void updateBudgets() {
    activeManifest.current().ifPresent(applied -> applyRates(applied.manifest()));
  }

  private void applyRates(Manifest manifest) {
    Map<String, BudgetTerms> terms = new HashMap<>();
    double share = regionShare();
    for (Workspace w : manifest.workspaces()) {
      if (w.requestsPerSecond() < UNLIMITED_REQUESTS_PER_SECOND) {
        terms.put(budgetName(w.id()), BudgetTerms.perSecond(w.requestsPerSecond() * share));
      }
    }
    peers.configureBudgets(terms);
    limitedBudgets = Set.copyOf(terms.keySet());
  }

  private double regionShare() {
    var live = membership.liveMembers();
    long liveInRegion = live.stream().map(Member::region).filter(region::equals).count();
    return live.isEmpty() ? 1 : Math.max(1, liveInRegion) / (double) live.size();
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
