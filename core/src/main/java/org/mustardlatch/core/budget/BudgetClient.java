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

  private static final long ASK_TIMEOUT = Duration.ofMillis(100).toNanos();
  private static final long ASK_PERIOD = Duration.ofMillis(50).toNanos();

  /** Requests without answer after which the stand-in is asked. */
  private static final int UNANSWERED_LIMIT = 1;

  /** How long the stand-in is asked before the owner is tried again. */
  private static final long FALL_BACK = Duration.ofSeconds(2).toNanos();

  private final BudgetOwners owners = new BudgetOwners();
  private final Map<String, HeldBudget> held = new HashMap<>();

  /** Creates a client that holds nothing. */
  public BudgetClient() {}

  /** Sets the live nodes of the region, this one included. */
  public void membersChanged(List<HostId> regionHosts) {
    owners.hosts(regionHosts);
    held.values().forEach(h -> h.candidate = 0);
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
    HeldBudget h =
        held.computeIfAbsent(
            budget, b -> new HeldBudget(BudgetTerms.DEFAULT_LEASE_TIME.toNanos(), nowNanos));
    if (h.spend(ticket, units, nowNanos)) {
      out.accept(new BudgetCommand.Granted(ticket));
    }
    ask(budget, h, nowNanos, out);
  }

  /** Takes a lease that arrived. */
  public void lease(BudgetLease lease, long nowNanos, Consumer<BudgetCommand> out) {
    HeldBudget h = held.get(lease.budget());
    if (h == null) {
      return;
    }
    h.asked = false;
    h.unanswered = 0;
    if (lease.units() > 0) {
      h.add(lease.units(), lease.validNanos(), nowNanos);
      h.serve(nowNanos, out);
    }
  }

  /** Refuses spends that waited for too long and repeats requests without answer. */
  public void tick(long nowNanos, Consumer<BudgetCommand> out) {
    held.forEach(
        (budget, h) -> {
          h.expire(nowNanos, MAX_WAIT.toNanos(), out);
          ask(budget, h, nowNanos, out);
        });
    held.values().removeIf(h -> h.idle(nowNanos));
  }

  /** Returns whether spends wait. */
  public boolean hasWaiting() {
    return held.values().stream().anyMatch(HeldBudget::hasWaiting);
  }

  /** Returns the units held by budget, for a dump. */
  public Map<String, Double> held(long nowNanos) {
    Map<String, Double> all = new HashMap<>();
    held.forEach((budget, h) -> all.put(budget, h.held(nowNanos)));
    return all;
  }

  private void ask(String budget, HeldBudget h, long now, Consumer<BudgetCommand> out) {
    double wanted = h.wanted(now);
    if (wanted <= 0 || (h.askedNanos != 0 && now - h.askedNanos < ASK_PERIOD)) {
      return;
    }
    if (h.asked) {
      if (now - h.askedNanos < ASK_TIMEOUT) {
        return;
      }
      h.unanswered++;
    }
    List<HostId> candidates = owners.of(budget);
    if (candidates.isEmpty()) {
      return;
    }
    choose(h, candidates.size(), now);
    h.asked = true;
    h.askedNanos = now;
    out.accept(
        new BudgetCommand.Send(
            candidates.get(h.candidate), new BudgetLeaseRequest(budget, wanted)));
  }

  private static void choose(HeldBudget h, int candidates, long now) {
    if (h.candidate > 0 && now - h.fellBackNanos > FALL_BACK) {
      h.candidate = 0;
      h.unanswered = 0;
    } else if (h.unanswered >= UNANSWERED_LIMIT) {
      h.candidate = (h.candidate + 1) % candidates;
      h.fellBackNanos = now;
      h.unanswered = 0;
    }
  }
}
