package org.mustardlatch.core.budget;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.BudgetMessage;

/** Command of {@link BudgetClient} for its caller to execute. */
public sealed interface BudgetCommand {
  /** Sends a message; the receiver may be this node itself. */
  record Send(HostId to, BudgetMessage message) implements BudgetCommand {}

  /** Reports that the units of a spend were acquired. */
  record Granted(long ticket) implements BudgetCommand {}

  /** Reports that the units of a spend are not available. */
  record Refused(long ticket) implements BudgetCommand {}
}
