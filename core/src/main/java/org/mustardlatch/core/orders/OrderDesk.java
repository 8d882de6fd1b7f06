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
 * Gives the orders of one node while it holds the lease. A new holder reads every engine back
 * before its first order, and every order is read back, so that an order of a former holder that
 * came late is repaired.
 */
public final class OrderDesk {
  private final OrderLease lease;
  private final Map<UpstreamId, EngineView> views = new HashMap<>();
  private final Set<UpstreamId> reading = new HashSet<>();
  private final Set<UpstreamId> ordered = new HashSet<>();
  private boolean planDue;
  private DeskEvent.GoalsChanged goals = new DeskEvent.GoalsChanged(List.of(), 0, 0);

  /** Creates the desk of one node, without the lease; {@code nonce} names the process. */
  public OrderDesk(LeaseTimes times, String nonce) {
    lease = new OrderLease(times, nonce);
  }

  /** Handles one event; {@code nowNanos} is monotonic time. */
  public void handle(DeskEvent event, long nowNanos, Consumer<DeskCommand> out) {
    switch (event) {
      case DeskEvent.GoalsChanged e -> {
        goals = e;
        readAll(out);
      }
      case DeskEvent.OfLease e ->
          lease.handle(
              e.event(),
              nowNanos,
              command -> {
                if (command instanceof LeaseCommand.Acquired) {
                  readAll(out);
                } else {
                  out.accept(new DeskCommand.OfLease(command));
                }
              });
      case DeskEvent.EngineRead e -> {
        if (reading.remove(e.view().engine())) {
          views.put(e.view().engine(), e.view());
        }
      }
      case DeskEvent.EngineReadFailed e -> reading.remove(e.engine());
      case DeskEvent.OrderEnded e -> {
        ordered.remove(e.engine());
        read(e.engine(), out);
      }
      case DeskEvent.ReadAgain e -> readAll(out);
    }
    giveOrders(nowNanos, out);
  }

  private void readAll(Consumer<DeskCommand> out) {
    planDue = true;
    goals.goals().forEach(g -> read(g.engine(), out));
  }

  private void read(UpstreamId engine, Consumer<DeskCommand> out) {
    views.remove(engine);
    reading.add(engine);
    out.accept(new DeskCommand.ReadEngine(engine));
  }

  private void giveOrders(long nowNanos, Consumer<DeskCommand> out) {
    if (!planDue || !reading.isEmpty() || !ordered.isEmpty()) {
      return; // the plan must rest on what every order has led to
    }
    planDue = false;
    List<EngineOrder> plan =
        OrderPlanner.plan(
            goals.goals(), List.copyOf(views.values()), goals.maxLoads(), goals.revision());
    for (EngineOrder order : plan) {
      OptionalLong token = lease.tokenForSending(nowNanos);
      if (token.isPresent()) {
        ordered.add(order.engine());
        out.accept(new DeskCommand.Send(order, token.getAsLong()));
      }
    }
  }
}
