package org.mustardlatch.core.budget;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLease;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLeaseRequest;

/**
 * Spends from shared budgets what their owners lease to this node. Asks for as much as was spent
 * within the last lease time. When an owner does not answer, the next node in rendezvous order is
 * asked. Deterministic; not safe for use by several threads.
 */
public final class BudgetClient {
  /** How often {@link #tick} is expected while spends wait. */
  public static final Duration TICK_PERIOD = Duration.ofMillis(50);

  /** How long a spend waits for a lease before it is refused. */
  public static final Duration MAX_WAIT = Duration.ofMillis(300);

  private static final long REQUEST_TIMEOUT = Duration.ofMillis(100).toNanos();
  private static final long MIN_REQUEST_INTERVAL = Duration.ofMillis(50).toNanos();

  /** Requests without answer after which the stand-in is asked. */
  private static final int UNANSWERED_LIMIT = 1;

  /** How long the stand-in is asked before the owner is tried again. */
  private static final long BACKUP_PERIOD = Duration.ofSeconds(2).toNanos();

  private final BudgetOwnerRanking owners = new BudgetOwnerRanking();
  private final Map<String, LeasedBudget> leasedBudgets = new HashMap<>();

  /** Creates a client that holds nothing. */
  public BudgetClient() {}

  /** Sets the live nodes of the region, this one included. */
  public void membersChanged(List<HostId> regionHosts) {
    owners.setHosts(regionHosts);
    leasedBudgets.values().forEach(h -> h.candidateIndex = 0);
  }

  /**
   * Spends units. One {@link BudgetCommand.Granted} or {@link BudgetCommand.Refused} with the
   * ticket follows, now or within {@link #MAX_WAIT}.
   *
   * @param units units to take, greater than 0
   */
  public void spend(
      long ticket, String budget, double units, long nowNanos, Consumer<BudgetCommand> out) {
    if (!(units > 0)) {
      throw new IllegalArgumentException("units must be greater than 0, got " + units);
    }
    LeasedBudget h =
        leasedBudgets.computeIfAbsent(
            budget, b -> new LeasedBudget(BudgetTerms.DEFAULT_LEASE_TIME.toNanos(), nowNanos));
    if (h.spend(ticket, units, nowNanos)) {
      out.accept(new BudgetCommand.Granted(ticket));
    }
    requestLease(budget, h, nowNanos, out);
  }

  /** Takes a lease that arrived. */
  public void leaseReceived(BudgetLease lease, long nowNanos, Consumer<BudgetCommand> out) {
    LeasedBudget h = leasedBudgets.get(lease.budget());
    if (h == null) {
      return;
    }
    h.requestPending = false;
    h.unansweredRequests = 0;
    if (lease.units() > 0) {
      h.addLease(lease.units(), lease.validNanos(), nowNanos);
      h.grantWaiting(nowNanos, out);
    }
  }

  /** Refuses spends that waited for too long and repeats requests without answer. */
  public void tick(long nowNanos, Consumer<BudgetCommand> out) {
    leasedBudgets.forEach(
        (budget, h) -> {
          h.refuseExpired(nowNanos, MAX_WAIT.toNanos(), out);
          requestLease(budget, h, nowNanos, out);
        });
    leasedBudgets.values().removeIf(h -> h.isIdle(nowNanos));
  }

  /** Returns whether spends wait. */
  public boolean hasWaitingSpends() {
    return leasedBudgets.values().stream().anyMatch(LeasedBudget::hasWaitingSpends);
  }

  /** Returns the units held by budget, for a dump. */
  public Map<String, Double> availableUnits(long nowNanos) {
    Map<String, Double> all = new HashMap<>();
    leasedBudgets.forEach((budget, h) -> all.put(budget, h.availableUnits(nowNanos)));
    return all;
  }

  private void requestLease(String budget, LeasedBudget h, long now, Consumer<BudgetCommand> out) {
    double wanted = h.unitsToRequest(now);
    if (wanted <= 0 || (h.lastRequestNanos != 0 && now - h.lastRequestNanos < MIN_REQUEST_INTERVAL)) {
      return;
    }
    if (h.requestPending) {
      if (now - h.lastRequestNanos < REQUEST_TIMEOUT) {
        return;
      }
      h.unansweredRequests++;
    }
    List<HostId> candidates = owners.candidatesFor(budget);
    if (candidates.isEmpty()) {
      return;
    }
    selectCandidate(h, candidates.size(), now);
    h.requestPending = true;
    h.lastRequestNanos = now;
    out.accept(
        new BudgetCommand.Send(
            candidates.get(h.candidateIndex), new BudgetLeaseRequest(budget, wanted)));
  }

  private static void selectCandidate(LeasedBudget h, int candidates, long now) {
    if (h.candidateIndex > 0 && now - h.backupSinceNanos > BACKUP_PERIOD) {
      h.candidateIndex = 0;
      h.unansweredRequests = 0;
    } else if (h.unansweredRequests >= UNANSWERED_LIMIT) {
      h.candidateIndex = (h.candidateIndex + 1) % candidates;
      h.backupSinceNanos = now;
      h.unansweredRequests = 0;
    }
  }
}
