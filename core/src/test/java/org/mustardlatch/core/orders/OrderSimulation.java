package org.mustardlatch.core.orders;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.time.VirtualTimerService;

/**
 * Simulates three nodes, one lease object and six engines in virtual time under one seeded schedule
 * of faults.
 */
final class OrderSimulation {
  private static final int FAULT_PHASE_MILLIS = 240_000;
  private static final Duration SETTLE_TIME = Duration.ofMinutes(6);

  private final VirtualTimerService time = new VirtualTimerService();
  private final long seed;
  private final RandomGenerator random;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<UpstreamId, Engine> engines = new TreeMap<>();
  private final List<DesiredEngineState> desiredStates = new ArrayList<>();
  private long leaseVersion;
  private String leaseHolder = "";
  private long lastFencingToken;
  private String lastSender = "";
  private int takeovers;
  private boolean faulty = true;

  OrderSimulation(long seed) {
    this.seed = seed;
    random = new SplittableRandom(seed);
    for (int i = 0; i < 6; i++) {
      UpstreamId id = new UpstreamId("e" + i);
      UpstreamRole role = i < 3 ? UpstreamRole.PREFILL : UpstreamRole.DECODE;
      engines.put(id, new Engine(role, i % 2 == 0));
    }
    setDesiredStates(0, "w2");
  }

  private void setDesiredStates(int firstPrefill, String weights) {
    desiredStates.clear();
    int i = firstPrefill;
    for (UpstreamId id : engines.keySet()) {
      UpstreamRole role = i++ % 2 == 0 ? UpstreamRole.PREFILL : UpstreamRole.DECODE;
      desiredStates.add(new DesiredEngineState(id, "p", role, weights));
    }
  }

  /** Returns the number of orders that came from another node than the preceding order. */
  int takeovers() {
    return takeovers;
  }

  void run() {
    for (int i = 0; i < 3; i++) {
      startNode("n" + i);
    }
    time.advance(Duration.ofMillis(FAULT_PHASE_MILLIS / 2));
    setDesiredStates(1, "w3");
    for (Node node : nodes) {
      node.run(() -> node.handle(new OrderManagerEvent.DesiredStatesChanged(desiredStates, 2, 2)));
    }
    time.advance(Duration.ofMillis(FAULT_PHASE_MILLIS / 2));
    faulty = false;
    time.advance(SETTLE_TIME);
    for (DesiredEngineState desired : desiredStates) {
      Engine engine = engine(desired.engine());
      assertWithMessage("seed %s: role of %s", seed, desired.engine())
          .that(engine.role)
          .isEqualTo(desired.role());
      assertWithMessage("seed %s: weights of %s", seed, desired.engine())
          .that(engine.weights)
          .isEqualTo("w3");
    }
  }

  private void startNode(String name) {
    Node node = new Node(name);
    nodes.add(node);
    node.handle(new OrderManagerEvent.DesiredStatesChanged(desiredStates, 2, 1));
    node.handle(new OrderManagerEvent.LeaseEventReceived(new LeaseEvent.CandidacyChanged(true)));
    time.scheduleRepeating(
        Duration.ofSeconds(3),
        () -> node.run(() -> node.handle(new OrderManagerEvent.RefreshRequested())));
  }

  private Engine engine(UpstreamId id) {
    Engine engine = engines.get(id);
    if (engine == null) {
      throw new AssertionError("unknown engine " + id);
    }
    return engine;
  }

  private Duration randomDuration(int boundMillis) {
    return Duration.ofMillis(random.nextInt(boundMillis));
  }

  /** Returns true with a probability of one in {@code oneIn} until the faults stop. */
  private boolean shouldInjectFault(int oneIn) {
    return faulty && random.nextInt(oneIn) == 0;
  }

  /** An engine that drains within 5 s and loads weights within 20 s. */
  private static final class Engine {
    private final boolean checksFencing;
    private UpstreamRole role;
    private String weights = "w1";
    private boolean loading;
    private int openRequests = 3;
    private long highestToken;

    Engine(UpstreamRole role, boolean checksFencing) {
      this.role = role;
      this.checksFencing = checksFencing;
    }

    ReportedEngineState reportedState(UpstreamId id) {
      return new ReportedEngineState(id, role, weights, loading, openRequests, 4 - openRequests);
    }
  }

  /** A node that can be paused; tasks that arrive during a pause run afterwards. */
  private final class Node {
    private final String name;
    private final OrderManager manager;
    private final Queue<Runnable> deferredTasks = new ArrayDeque<>();
    private int activePauses;

    Node(String name) {
      this.name = name;
      manager = new OrderManager(LeaseTimes.DEFAULT, name);
    }

    void run(Runnable task) {
      if (activePauses > 0) {
        deferredTasks.add(task);
        return;
      }
      task.run();
      if (shouldInjectFault(60)) {
        activePauses++;
        time.schedule(randomDuration(60_000), this::resume);
      }
    }

    private void resume() {
      activePauses--;
      List<Runnable> tasks = new ArrayList<>(deferredTasks);
      deferredTasks.clear();
      tasks.forEach(this::run);
    }

    void handle(OrderManagerEvent event) {
      List<OrderManagerCommand> commands = new ArrayList<>();
      manager.handle(event, time.nanos(), commands::add);
      commands.forEach(this::execute);
    }

    private void scheduleEvent(Duration delay, OrderManagerEvent event) {
      time.schedule(delay, () -> run(() -> handle(event)));
    }

    private void execute(OrderManagerCommand command) {
      switch (command) {
        case OrderManagerCommand.ExecuteLeaseCommand c -> executeLeaseCommand(c.command());
        case OrderManagerCommand.ReadEngine c ->
            scheduleEvent(
                randomDuration(100),
                shouldInjectFault(20)
                    ? new OrderManagerEvent.EngineReadFailed(c.engine())
                    : new OrderManagerEvent.EngineRead(
                        engine(c.engine()).reportedState(c.engine())));
        case OrderManagerCommand.SendOrder c -> sendOrder(c);
      }
    }

    private void executeLeaseCommand(LeaseCommand command) {
      switch (command) {
        case LeaseCommand.Read c ->
            time.schedule(
                randomDuration(100),
                () ->
                    handleLeaseEvent(
                        shouldInjectFault(10)
                            ? new LeaseEvent.ReadFailed()
                            : new LeaseEvent.ReadFinished(leaseVersion, leaseHolder)));
        case LeaseCommand.Write c -> writeLease(c);
        case LeaseCommand.SetTimer c ->
            time.schedule(
                Duration.ofNanos(c.atNanos() - time.nanos()),
                () -> handleLeaseEvent(new LeaseEvent.TimerFired()));
        case LeaseCommand.Acquired c ->
            throw new AssertionError("Acquired is handled by the order manager");
      }
    }

    private void handleLeaseEvent(LeaseEvent event) {
      run(() -> handle(new OrderManagerEvent.LeaseEventReceived(event)));
    }

    /** Applies the write after a delay, even if the call of the sender timed out long before. */
    private void writeLease(LeaseCommand.Write c) {
      boolean responseLost = shouldInjectFault(5);
      Duration delay =
          responseLost && random.nextBoolean() ? randomDuration(20_000) : randomDuration(500);
      if (responseLost) {
        time.schedule(Duration.ofSeconds(1), () -> handleLeaseEvent(new LeaseEvent.WriteFailed()));
      }
      time.schedule(
          delay,
          () -> {
            boolean applied = c.version() == leaseVersion;
            if (applied) {
              leaseVersion++;
              leaseHolder = c.holder();
            }
            if (!responseLost) {
              handleLeaseEvent(
                  applied
                      ? new LeaseEvent.WriteStored(leaseVersion)
                      : new LeaseEvent.WriteFailed());
            }
          });
    }

    /**
     * Sends an order. The order can arrive long after it timed out at its sender, for example
     * because the sender was paused.
     */
    private void sendOrder(OrderManagerCommand.SendOrder c) {
      assertWithMessage("seed %s: token of %s after %s", seed, name, lastSender)
          .that(c.fencingToken())
          .isAtLeast(lastFencingToken);
      if (!lastSender.isEmpty() && !name.equals(lastSender)) {
        takeovers++;
      }
      lastFencingToken = c.fencingToken();
      lastSender = name;
      time.schedule(
          shouldInjectFault(15) ? randomDuration(40_000) : randomDuration(200),
          () -> applyOrder(c));
      scheduleEvent(Duration.ofSeconds(1), new OrderManagerEvent.OrderEnded(c.order().engine()));
    }

    private void applyOrder(OrderManagerCommand.SendOrder c) {
      Engine e = engine(c.order().engine());
      if (e.checksFencing && c.fencingToken() < e.highestToken) {
        return;
      }
      e.highestToken = Math.max(e.highestToken, c.fencingToken());
      switch (c.order().kind()) {
        case DRAIN -> time.schedule(randomDuration(5_000), () -> e.openRequests = 0);
        case SET_ROLE -> {
          e.role = c.order().role();
          e.openRequests = random.nextInt(3);
        }
        case LOAD_WEIGHTS -> {
          e.loading = true;
          time.schedule(
              randomDuration(20_000),
              () -> {
                e.loading = false;
                e.weights = c.order().weights();
              });
        }
      }
    }
  }
}
