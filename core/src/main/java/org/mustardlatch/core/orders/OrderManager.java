package org.mustardlatch.core.orders;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.mustardlatch.core.model.UpstreamId;

/**
 * Sends the orders of one node while the node holds the order lease. A new holder reads the state
 * of every engine before its first order, and the state of an engine is read again after each
 * order, so that the effect of a delayed order of a former holder is detected and corrected.
 */
public final class OrderManager {
  private final OrderLease lease;
  private final Map<UpstreamId, ReportedEngineState> reportedStates = new HashMap<>();
  private final Set<UpstreamId> pendingReads = new HashSet<>();
  private final Set<UpstreamId> pendingOrders = new HashSet<>();
  private boolean planRequired;
  private OrderManagerEvent.DesiredStatesChanged desired =
      new OrderManagerEvent.DesiredStatesChanged(List.of(), 0, 0);

  /**
   * Creates the manager of one node, which does not hold the lease yet. {@code nonce} identifies
   * the process.
   */
  public OrderManager(LeaseTimes times, String nonce) {
    lease = new OrderLease(times, nonce);
  }

  /** Handles one event; {@code nowNanos} is monotonic time. */
  public void handle(OrderManagerEvent event, long nowNanos, Consumer<OrderManagerCommand> out) {
    switch (event) {
      case OrderManagerEvent.DesiredStatesChanged e -> {
        desired = e;
        readAllEngines(out);
      }
      case OrderManagerEvent.LeaseEventReceived e ->
          lease.handle(
              e.event(),
              nowNanos,
              command -> {
                if (command instanceof LeaseCommand.Acquired) {
                  readAllEngines(out);
                } else {
                  out.accept(new OrderManagerCommand.ExecuteLeaseCommand(command));
                }
              });
      case OrderManagerEvent.EngineRead e -> {
        if (pendingReads.remove(e.state().engine())) {
          reportedStates.put(e.state().engine(), e.state());
        }
      }
      case OrderManagerEvent.EngineReadFailed e -> pendingReads.remove(e.engine());
      case OrderManagerEvent.OrderEnded e -> {
        pendingOrders.remove(e.engine());
        readEngine(e.engine(), out);
      }
      case OrderManagerEvent.RefreshRequested e -> readAllEngines(out);
    }
    sendOrders(nowNanos, out);
  }

  private void readAllEngines(Consumer<OrderManagerCommand> out) {
    planRequired = true;
    desired.desiredStates().forEach(d -> readEngine(d.engine(), out));
  }

  private void readEngine(UpstreamId engine, Consumer<OrderManagerCommand> out) {
    reportedStates.remove(engine);
    pendingReads.add(engine);
    out.accept(new OrderManagerCommand.ReadEngine(engine));
  }

  private void sendOrders(long nowNanos, Consumer<OrderManagerCommand> out) {
    if (!planRequired || !pendingReads.isEmpty() || !pendingOrders.isEmpty()) {
      return; // a plan needs the state of every engine after all earlier orders
    }
    planRequired = false;
    List<EngineOrder> plan =
        OrderPlanner.plan(
            desired.desiredStates(),
            List.copyOf(reportedStates.values()),
            desired.maxConcurrentLoads(),
            desired.revision());
    for (EngineOrder order : plan) {
      OptionalLong token = lease.fencingTokenForSending(nowNanos);
      if (token.isPresent()) {
        pendingOrders.add(order.engine());
        out.accept(new OrderManagerCommand.SendOrder(order, token.getAsLong()));
      }
    }
  }
}
