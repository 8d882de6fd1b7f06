package org.mustardlatch.wire;

import org.mustardlatch.core.peer.BudgetMessage;
import org.mustardlatch.wire.generated.PeerProto.Envelope;

/** Converts shared budget messages to and from the body of an envelope. */
final class BudgetCodec {
  private BudgetCodec() {}

  static void encode(BudgetMessage message, Envelope.Builder out) {
    switch (message) {
      case BudgetMessage.BudgetLeaseRequest m ->
          out.getBudgetLeaseRequestBuilder().setBudget(m.budget()).setWanted(m.requestedUnits());
      case BudgetMessage.BudgetLease m ->
          out.getBudgetLeaseBuilder()
              .setBudget(m.budget())
              .setUnits(m.units())
              .setValidNanos(m.validNanos());
    }
  }

  static BudgetMessage decode(Envelope e) {
    return switch (e.getBodyCase()) {
      case BUDGET_LEASE_REQUEST ->
          new BudgetMessage.BudgetLeaseRequest(
              e.getBudgetLeaseRequest().getBudget(), e.getBudgetLeaseRequest().getWanted());
      case BUDGET_LEASE ->
          new BudgetMessage.BudgetLease(
              e.getBudgetLease().getBudget(),
              e.getBudgetLease().getUnits(),
              e.getBudgetLease().getValidNanos());
      default -> throw PeerCodec.unexpectedBody(e);
    };
  }
}
