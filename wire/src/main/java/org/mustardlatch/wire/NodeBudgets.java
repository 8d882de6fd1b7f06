package org.mustardlatch.wire;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.mustardlatch.core.budget.BudgetClient;
import org.mustardlatch.core.budget.BudgetCommand;
import org.mustardlatch.core.budget.BudgetOwner;
import org.mustardlatch.core.budget.BudgetTerms;
import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.peer.BudgetMessage;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLease;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLeaseRequest;
import org.mustardlatch.core.routing.Member;

/**
 * The shared budgets of one region on one node, which grants leases as an owner and requests them
 * as a client. Called by the tasks of {@link PeerNode} only.
 */
final class NodeBudgets {
  private final RegionId region;
  private final BudgetOwner owner;
  private final BudgetClient client = new BudgetClient();
  private final BiConsumer<HostId, BudgetMessage> sender;
  private final Map<Long, Consumer<Boolean>> pendingResults = new HashMap<>();
  private long lastTicket;
  private boolean isConfigured;

  NodeBudgets(HostId self, RegionId region, BiConsumer<HostId, BudgetMessage> sender) {
    this.region = region;
    this.owner = new BudgetOwner(self);
    this.sender = sender;
  }

  /** Returns whether this node uses these budgets, which only the own interface does. */
  boolean isConfigured() {
    return isConfigured;
  }

  void configure(Map<String, BudgetTerms> terms) {
    isConfigured = true;
    owner.configure(terms);
  }

  void membersChanged(MemberList list) {
    List<HostId> hosts =
        list.members().stream().filter(m -> m.region().equals(region)).map(Member::host).toList();
    owner.membersChanged(hosts);
    client.membersChanged(hosts);
  }

  void spend(String budget, double units, long now, Consumer<Boolean> result) {
    long ticket = ++lastTicket;
    pendingResults.put(ticket, result);
    client.spend(ticket, budget, units, now, this::execute);
  }

  void received(HostId from, BudgetMessage message, long now) {
    switch (message) {
      case BudgetLeaseRequest m -> sender.accept(from, owner.handleRequest(from, m, now));
      case BudgetLease m -> client.leaseReceived(m, now, this::execute);
    }
  }

  /** Advances the requests for units that wait for a lease; does nothing if there are none. */
  void tick(long now) {
    if (client.hasWaitingSpends()) {
      client.tick(now, this::execute);
    }
  }

  Map<String, Object> dump(long now) {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("granting", owner.grantedBudgets());
    all.put("held", client.availableUnits(now));
    return all;
  }

  private void execute(BudgetCommand command) {
    switch (command) {
      case BudgetCommand.Send c -> sender.accept(c.to(), c.message());
      case BudgetCommand.Granted c -> complete(c.ticket(), true);
      case BudgetCommand.Refused c -> complete(c.ticket(), false);
    }
  }

  private void complete(long ticket, boolean granted) {
    Consumer<Boolean> result = pendingResults.remove(ticket);
    if (result != null) {
      result.accept(granted);
    }
  }
}
