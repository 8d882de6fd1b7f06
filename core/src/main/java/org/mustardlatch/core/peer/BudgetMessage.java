package org.mustardlatch.core.peer;

/** Messages for leases of budgets that the nodes of a region share. */
public sealed interface BudgetMessage extends PeerMessage {
  /** Returns the name of the budget, for example {@code workspace/planners}. */
  String budget();

  /**
   * Requests units from the owner of a budget.
   *
   * @param requestedUnits units of the spends that wait and of the demand expected for one lease
   *     time, less the units still leased
   */
  record BudgetLeaseRequest(String budget, double requestedUnits) implements BudgetMessage {}

  /**
   * Grants units that the receiver may spend.
   *
   * @param units units granted, may be 0
   * @param validNanos time for which the units may be spent, nanoseconds; without units, the time
   *     before which a further request for units of an upstream is pointless
   */
  record BudgetLease(String budget, double units, long validNanos) implements BudgetMessage {}
}
