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
 * Spends units of shared budgets that their owners lease to this node. A call of {@link #spend}
 * that the leased units do not cover waits for the next lease. Requests the units of the waiting
 * calls and the demand expected for one lease time, less the units still leased. If an owner does
 * not respond, requests go to its backup, the next node in rendezvous order. Deterministic; not
 * thread-safe.
 */
public final class BudgetClient {
  /** Expected interval between calls of {@link #tick} while spends wait. */
  public static final Duration TICK_PERIOD = Duration.ofMillis(50);

  /** Time that a spend waits for a lease before it is refused. */
  public static final Duration MAX_WAIT = Duration.ofMillis(300);

  /** Time without a response after which a request is repeated. */
  private static final long REQUEST_TIMEOUT = Duration.ofMillis(100).toNanos();

  /** Minimum interval between two requests for the same budget. */
  private static final long MIN_REQUEST_INTERVAL = Duration.ofMillis(50).toNanos();

  /** Number of requests without a response after which the backup is used. */
  private static final int UNANSWERED_LIMIT = 1;

  /** Time for which requests go to the backup before the owner is tried again. */
  private static final long BACKUP_PERIOD = Duration.ofSeconds(2).toNanos();

  private final BudgetOwnerRanking owners = new BudgetOwnerRanking();
  private final Map<String, LeasedBudget> leasedBudgets = new HashMap<>();

  /** Creates a client without leases. */
  public BudgetClient() {}

  /** Sets the live nodes of the region, this one included. */
  public void membersChanged(List<HostId> regionHosts) {
    owners.setHosts(regionHosts);
    leasedBudgets.values().forEach(leased -> leased.candidateIndex = 0);
  }

  /**
   * Spends units. Exactly one {@link BudgetCommand.Granted} or {@link BudgetCommand.Refused} with
   * the ticket follows: during this call, with a lease, or at the first {@link #tick} after {@link
   * #MAX_WAIT}.
   *
   * @param ticket identifies the spend in the resulting command
   * @param units units to spend, greater than 0
   */
  public void spend(
      long ticket, String budget, double units, long nowNanos, Consumer<BudgetCommand> out) {
    if (!(units > 0)) {
      throw new IllegalArgumentException("units must be greater than 0, got " + units);
    }
    LeasedBudget leased =
        leasedBudgets.computeIfAbsent(
            budget, b -> new LeasedBudget(BudgetTerms.DEFAULT_LEASE_TIME.toNanos(), nowNanos));
    if (leased.spend(ticket, units, nowNanos)) {
      out.accept(new BudgetCommand.Granted(ticket));
    }
    requestLease(budget, leased, nowNanos, out);
  }

  /** Adds a received lease and grants the waiting spends that it covers. */
  public void leaseReceived(BudgetLease lease, long nowNanos, Consumer<BudgetCommand> out) {
    LeasedBudget leased = leasedBudgets.get(lease.budget());
    if (leased == null) {
      return;
    }
    leased.requestPending = false;
    leased.unansweredRequests = 0;
    if (lease.units() > 0) {
      leased.addLease(lease.units(), lease.validNanos(), nowNanos);
      leased.grantWaiting(nowNanos, out);
    }
  }

  /** Refuses spends that waited for {@link #MAX_WAIT} and repeats requests without a response. */
  public void tick(long nowNanos, Consumer<BudgetCommand> out) {
    leasedBudgets.forEach(
        (budget, leased) -> {
          leased.refuseExpired(nowNanos, MAX_WAIT.toNanos(), out);
          requestLease(budget, leased, nowNanos, out);
        });
    leasedBudgets.values().removeIf(leased -> leased.isIdle(nowNanos));
  }

  /** Returns whether any spend waits for a lease. */
  public boolean hasWaitingSpends() {
    return leasedBudgets.values().stream().anyMatch(LeasedBudget::hasWaitingSpends);
  }

  /** Returns the leased and unspent units by budget, for a diagnostic dump. */
  public Map<String, Double> availableUnits(long nowNanos) {
    Map<String, Double> all = new HashMap<>();
    leasedBudgets.forEach((budget, leased) -> all.put(budget, leased.availableUnits(nowNanos)));
    return all;
  }

  /** Requests a lease if more units are needed and no request is in progress. */
  private void requestLease(
      String budget, LeasedBudget leased, long now, Consumer<BudgetCommand> out) {
    double requestedUnits = leased.unitsToRequest(now);
    if (requestedUnits <= 0
        || (leased.lastRequestNanos != 0 && now - leased.lastRequestNanos < MIN_REQUEST_INTERVAL)) {
      return;
    }
    if (leased.requestPending) {
      if (now - leased.lastRequestNanos < REQUEST_TIMEOUT) {
        return;
      }
      leased.unansweredRequests++;
    }
    List<HostId> candidates = owners.candidatesFor(budget);
    if (candidates.isEmpty()) {
      return;
    }
    selectCandidate(leased, candidates.size(), now);
    leased.requestPending = true;
    leased.lastRequestNanos = now;
    out.accept(
        new BudgetCommand.Send(
            candidates.get(leased.candidateIndex), new BudgetLeaseRequest(budget, requestedUnits)));
  }

  /** Chooses between the owner and its backup for the next request. */
  private static void selectCandidate(LeasedBudget leased, int candidateCount, long now) {
    if (leased.candidateIndex > 0 && now - leased.backupSinceNanos > BACKUP_PERIOD) {
      leased.candidateIndex = 0;
      leased.unansweredRequests = 0;
    } else if (leased.unansweredRequests >= UNANSWERED_LIMIT) {
      leased.candidateIndex = (leased.candidateIndex + 1) % candidateCount;
      leased.backupSinceNanos = now;
      leased.unansweredRequests = 0;
    }
  }
}
