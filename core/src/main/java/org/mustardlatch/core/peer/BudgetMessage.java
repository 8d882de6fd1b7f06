package org.mustardlatch.core.peer;

/** Messages that share fleet-wide budgets. */
public sealed interface BudgetMessage extends PeerMessage {
  /**
   * Asks the owner of a budget for units.
   *
   * @param budget name of the budget, for example {@code workspace/vevstua}
   * @param requestedUnits units that the node expects to spend within one lease time
   */
  record BudgetLeaseRequest(String budget, double requestedUnits) implements BudgetMessage {}

  /**
   * Units that the receiver may spend.
   *
   * @param units units granted, may be 0
   * @param validNanos how long they may be spent, nanoseconds
   */
  record BudgetLease(String budget, double units, long validNanos) implements BudgetMessage {}
}
