package org.mustardlatch.core.budget;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.BudgetMessage;

/** Output of {@link BudgetClient}. */
public sealed interface BudgetCommand {
  /** Send a message; the receiver may be this node itself. */
  record Send(HostId to, BudgetMessage message) implements BudgetCommand {}

  /** The units of a spend were taken. */
  record Granted(long ticket) implements BudgetCommand {}

  /** The units of a spend are not available. */
  record Refused(long ticket) implements BudgetCommand {}
}
