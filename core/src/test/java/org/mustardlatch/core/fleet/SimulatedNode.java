package org.mustardlatch.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.budget.BudgetClient;
import org.mustardlatch.core.budget.BudgetCommand;
import org.mustardlatch.core.budget.BudgetOwner;
import org.mustardlatch.core.membership.Membership;
import org.mustardlatch.core.membership.MembershipCommand;
import org.mustardlatch.core.membership.MembershipEvent;
import org.mustardlatch.core.membership.NodeIdentity;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLease;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLeaseRequest;
import org.mustardlatch.core.peer.MembershipMessage;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.peer.RolloutMessage;
import org.mustardlatch.core.rollout.Rollout;
import org.mustardlatch.core.rollout.RolloutCommand;
import org.mustardlatch.core.rollout.RolloutEvent;
import org.mustardlatch.core.time.TimerSubscription;

/** Node of a {@link FleetSimulation} with membership, rollout and budgets. */
final class SimulatedNode {
  private final FleetSimulation fleet;
  private final NodeIdentity self;
  private final Membership membership;
  final Rollout rollout;
  final BudgetOwner budgetOwner;
  final BudgetClient budgetClient = new BudgetClient();
  private final List<Runnable> deferredTasks = new ArrayList<>();
  private final List<TimerSubscription> timers = new ArrayList<>();
  private final Map<Long, Boolean> spendResults = new HashMap<>();
  private boolean running;
  private boolean paused;
  final Set<HostId> suspected = new HashSet<>();
  final Set<HostId> everRemoved = new HashSet<>();
  final List<Long> appliedRevisions = new ArrayList<>();
  long fencedIncarnation;
  long acceptedRevision;
  double spent;

  SimulatedNode(
      FleetSimulation fleet,
      String name,
      String region,
      long incarnation,
      List<String> joinAddresses) {
    this.fleet = fleet;
    this.self =
        new NodeIdentity(
            new HostId(name), new RegionId(region), new ZoneId(region + "-z"), name + ":1");
    long now = fleet.time.nanos();
    this.membership =
        new Membership(self, incarnation, joinAddresses, new Random(fleet.random.nextLong()), now);
    this.rollout = new Rollout(self.host());
    this.budgetOwner = new BudgetOwner(self.host());
  }

  void start() {
    running = true;
    membersChanged();
    long phase = fleet.random.nextLong(Membership.TICK_PERIOD.toNanos());
    fleet.time.schedule(
        Duration.ofNanos(phase),
        () -> {
          timers.add(
              fleet.time.scheduleRepeating(Membership.TICK_PERIOD, () -> runOrDefer(this::tick)));
          timers.add(
              fleet.time.scheduleRepeating(
                  BudgetClient.TICK_PERIOD,
                  () -> {
                    if (running && !paused && budgetClient.hasWaitingSpends()) {
                      budgetClient.tick(fleet.time.nanos(), this::execute);
                    }
                  }));
        });
  }

  private void tick() {
    handleMembershipEvent(new MembershipEvent.Tick());
    handleRolloutEvent(new RolloutEvent.Tick());
  }

  /** Gives the node other addresses through which it joins, as a change of its settings does. */
  void changeSeeds(List<String> joinAddresses) {
    handleMembershipEvent(new MembershipEvent.SeedsChanged(joinAddresses));
  }

  /** Ends the process without notifying the other nodes. */
  void kill() {
    running = false;
    timers.forEach(TimerSubscription::cancel);
  }

  void leave() {
    handleMembershipEvent(new MembershipEvent.LeaveRequested());
    fleet.time.schedule(Duration.ofSeconds(1), this::kill);
  }

  /** Pauses the process; up to 64 ticks and messages of this time are handled when it resumes. */
  void pause(Duration duration) {
    paused = true;
    fleet.time.schedule(
        duration,
        () -> {
          paused = false;
          List<Runnable> resumedTasks = new ArrayList<>(deferredTasks);
          deferredTasks.clear();
          resumedTasks.forEach(Runnable::run);
        });
  }

  private void runOrDefer(Runnable task) {
    if (!running) {
      return;
    }
    if (paused) {
      if (deferredTasks.size() < 64) {
        deferredTasks.add(task);
      }
      return;
    }
    task.run();
  }

  void receive(HostId from, long incarnation, PeerMessage message) {
    runOrDefer(() -> dispatch(from, incarnation, message));
  }

  private void dispatch(HostId from, long incarnation, PeerMessage message) {
    switch (message) {
      case MembershipMessage m -> {
        handleMembershipEvent(new MembershipEvent.MessageReceived(from, incarnation, m));
        if (m instanceof MembershipMessage.Heartbeat h) {
          handleRolloutEvent(new RolloutEvent.PeerRevisionReported(from, h.configRevision()));
        } else if (m instanceof MembershipMessage.HeartbeatAck h) {
          handleRolloutEvent(new RolloutEvent.PeerRevisionReported(from, h.configRevision()));
        }
      }
      case RolloutMessage m -> {
        handleMembershipEvent(new MembershipEvent.FrameReceived(from, incarnation));
        handleRolloutEvent(new RolloutEvent.MessageReceived(from, m));
      }
      case BudgetLeaseRequest m ->
          sendBudget(from, budgetOwner.handleRequest(from, m, fleet.time.nanos()));
      case BudgetLease m -> budgetClient.leaseReceived(m, fleet.time.nanos(), this::execute);
      default -> throw new AssertionError(message);
    }
  }

  private void sendBudget(HostId to, PeerMessage message) {
    if (to.equals(host())) {
      dispatch(to, incarnation(), message);
    } else {
      fleet.send(this, to, message);
    }
  }

  private void handleMembershipEvent(MembershipEvent event) {
    membership.handle(event, fleet.time.nanos(), this::execute);
  }

  private void execute(MembershipCommand command) {
    switch (command) {
      case MembershipCommand.Send c -> fleet.send(this, c.to(), c.message());
      case MembershipCommand.SendToAddress c -> fleet.sendToAddress(this, c.address(), c.message());
      case MembershipCommand.MembersChanged c -> membersChanged();
      case MembershipCommand.NodeRemoved c -> everRemoved.add(c.host());
      case MembershipCommand.Suspected c -> suspected.add(c.host());
      case MembershipCommand.Fenced c -> fencedIncarnation = c.incarnation();
    }
  }

  private void membersChanged() {
    handleRolloutEvent(
        new RolloutEvent.MembersChanged(membership.members(), membership.neighbours()));
    List<HostId> region =
        membership.members().members().stream()
            .filter(m -> m.region().equals(self.region()))
            .map(m -> m.host())
            .toList();
    budgetOwner.membersChanged(region);
    budgetClient.membersChanged(region);
  }

  void handleRolloutEvent(RolloutEvent event) {
    rollout.handle(event, fleet.time.nanos(), this::execute);
  }

  private void execute(RolloutCommand command) {
    switch (command) {
      case RolloutCommand.Send c -> fleet.send(this, c.to(), c.message());
      case RolloutCommand.Apply c -> {
        appliedRevisions.add(c.revision());
        fleet.time.schedule(
            Duration.ZERO,
            () -> {
              handleRolloutEvent(new RolloutEvent.Applied(c.revision()));
              handleMembershipEvent(new MembershipEvent.ActiveRevisionChanged(c.revision()));
            });
      }
      case RolloutCommand.Accepted c -> acceptedRevision = c.revision();
      case RolloutCommand.WatchChanged c -> {
        if (!fleet.storeDown) {
          readStore();
        }
      }
      case RolloutCommand.Ready c -> {}
    }
  }

  private void execute(BudgetCommand command) {
    switch (command) {
      case BudgetCommand.Send c -> sendBudget(c.to(), c.message());
      case BudgetCommand.Granted c -> spendResults.put(c.ticket(), true);
      case BudgetCommand.Refused c -> spendResults.put(c.ticket(), false);
    }
  }

  void readStore() {
    handleRolloutEvent(new RolloutEvent.StoreRead(fleet.storedRevision, fleet.storedText));
  }

  void spend(long ticket, String budget, double units) {
    if (running && !paused) {
      budgetClient.spend(ticket, budget, units, fleet.time.nanos(), this::execute);
    }
  }

  /** Returns the number of spends granted since the last call. */
  int drainGrantedCount() {
    int granted = (int) spendResults.values().stream().filter(g -> g).count();
    spendResults.clear();
    return granted;
  }

  boolean seesExactly(Collection<SimulatedNode> expected) {
    Set<HostId> seen =
        membership.members().members().stream().map(m -> m.host()).collect(Collectors.toSet());
    return seen.size() == expected.size()
        && expected.stream().allMatch(n -> seen.contains(n.host()));
  }

  boolean considersUnreachable(String region) {
    return membership.members().unreachableRegions().contains(new RegionId(region));
  }

  long incarnationOf(HostId other) {
    return membership.members().members().stream()
        .filter(m -> m.host().equals(other))
        .mapToLong(m -> m.incarnation())
        .findFirst()
        .orElse(0);
  }

  HostId host() {
    return self.host();
  }

  String region() {
    return self.region().value();
  }

  long incarnation() {
    return membership.incarnation();
  }

  boolean isRunning() {
    return running;
  }

  @Nullable String stateOf(HostId other) {
    MembershipMessage.State s = membership.state(other);
    return s == null ? null : s.name();
  }

  @Override
  public String toString() {
    return host()
        + " sees "
        + membership.members().members().size()
        + ", revision "
        + rollout.revision();
  }
}
