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

/** One seeded schedule: three nodes, one lease object and six engines in virtual time. */
final class OrderWorld {
  private static final int FAULT_MILLIS = 240_000;
  private static final Duration SETTLE = Duration.ofMinutes(6);

  private final VirtualTimerService time = new VirtualTimerService();
  private final long seed;
  private final RandomGenerator random;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<UpstreamId, Engine> engines = new TreeMap<>();
  private final List<EngineGoal> goals = new ArrayList<>();
  private long leaseVersion;
  private String leaseHolder = "";
  private long lastToken;
  private String lastSender = "";
  private int takeovers;
  private boolean faulty = true;

  OrderWorld(long seed) {
    this.seed = seed;
    random = new SplittableRandom(seed);
    for (int i = 0; i < 6; i++) {
      UpstreamId id = new UpstreamId("e" + i);
      UpstreamRole role = i < 3 ? UpstreamRole.PREFILL : UpstreamRole.DECODE;
      engines.put(id, new Engine(role, i % 2 == 0));
    }
    setGoals(0, "w2");
  }

  private void setGoals(int firstPrefill, String weights) {
    goals.clear();
    int i = firstPrefill;
    for (UpstreamId id : engines.keySet()) {
      UpstreamRole role = i++ % 2 == 0 ? UpstreamRole.PREFILL : UpstreamRole.DECODE;
      goals.add(new EngineGoal(id, "p", role, weights));
    }
  }

  /** Returns how often an order came from another node than the order before it. */
  int takeovers() {
    return takeovers;
  }

  void run() {
    for (int i = 0; i < 3; i++) {
      startNode("n" + i);
    }
    time.advance(Duration.ofMillis(FAULT_MILLIS / 2));
    setGoals(1, "w3");
    for (Node node : nodes) {
      node.run(() -> node.handle(new DeskEvent.GoalsChanged(goals, 2, 2)));
    }
    time.advance(Duration.ofMillis(FAULT_MILLIS / 2));
    faulty = false;
    time.advance(SETTLE);
    for (EngineGoal goal : goals) {
      Engine engine = engine(goal.engine());
      assertWithMessage("seed %s: role of %s", seed, goal.engine())
          .that(engine.role)
          .isEqualTo(goal.role());
      assertWithMessage("seed %s: weights of %s", seed, goal.engine())
          .that(engine.weights)
          .isEqualTo("w3");
    }
  }

  private void startNode(String name) {
    Node node = new Node(name);
    nodes.add(node);
    node.handle(new DeskEvent.GoalsChanged(goals, 2, 1));
    node.handle(new DeskEvent.OfLease(new LeaseEvent.Wanted(true)));
    time.every(Duration.ofSeconds(3), () -> node.run(() -> node.handle(new DeskEvent.ReadAgain())));
  }

  private Engine engine(UpstreamId id) {
    Engine engine = engines.get(id);
    if (engine == null) {
      throw new AssertionError("unknown engine " + id);
    }
    return engine;
  }

  private Duration within(int millis) {
    return Duration.ofMillis(random.nextInt(millis));
  }

  private boolean fault(int oneIn) {
    return faulty && random.nextInt(oneIn) == 0;
  }

  /** An engine that drains within seconds and loads within 20 s. */
  private static final class Engine {
    private final boolean checksFencing;
    private UpstreamRole role;
    private String weights = "w1";
    private boolean loading;
    private int held = 3;
    private long highestToken;

    Engine(UpstreamRole role, boolean checksFencing) {
      this.role = role;
      this.checksFencing = checksFencing;
    }

    EngineView view(UpstreamId id) {
      return new EngineView(id, role, weights, loading, held, 4 - held);
    }
  }

  /** A node that can be paused; what arrives meanwhile waits. */
  private final class Node {
    private final String name;
    private final OrderDesk desk;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private int pauses;

    Node(String name) {
      this.name = name;
      desk = new OrderDesk(LeaseTimes.DEFAULT, name);
    }

    void run(Runnable task) {
      if (pauses > 0) {
        waiting.add(task);
        return;
      }
      task.run();
      if (fault(60)) {
        pauses++;
        time.schedule(within(60_000), this::resume);
      }
    }

    private void resume() {
      pauses--;
      List<Runnable> tasks = new ArrayList<>(waiting);
      waiting.clear();
      tasks.forEach(this::run);
    }

    void handle(DeskEvent event) {
      List<DeskCommand> commands = new ArrayList<>();
      desk.handle(event, time.nanos(), commands::add);
      commands.forEach(this::execute);
    }

    private void later(Duration delay, DeskEvent event) {
      time.schedule(delay, () -> run(() -> handle(event)));
    }

    private void execute(DeskCommand command) {
      switch (command) {
        case DeskCommand.OfLease c -> lease(c.command());
        case DeskCommand.ReadEngine c ->
            later(
                within(100),
                fault(20)
                    ? new DeskEvent.EngineReadFailed(c.engine())
                    : new DeskEvent.EngineRead(engine(c.engine()).view(c.engine())));
        case DeskCommand.Send c -> send(c);
      }
    }

    private void lease(LeaseCommand command) {
      switch (command) {
        case LeaseCommand.Read c ->
            time.schedule(
                within(100),
                () ->
                    lease(
                        fault(10)
                            ? new LeaseEvent.ReadFailed()
                            : new LeaseEvent.ReadFinished(leaseVersion, leaseHolder)));
        case LeaseCommand.Write c -> writeLease(c);
        case LeaseCommand.WakeAt c ->
            time.schedule(
                Duration.ofNanos(c.atNanos() - time.nanos()), () -> lease(new LeaseEvent.Woken()));
        case LeaseCommand.Acquired c -> throw new AssertionError("handled by the desk");
      }
    }

    private void lease(LeaseEvent event) {
      run(() -> handle(new DeskEvent.OfLease(event)));
    }

    /** Applied after the delay, even when the sender has given up long before. */
    private void writeLease(LeaseCommand.Write c) {
      boolean lost = fault(5);
      Duration delay = lost && random.nextBoolean() ? within(20_000) : within(500);
      if (lost) {
        time.schedule(Duration.ofSeconds(1), () -> lease(new LeaseEvent.WriteFailed()));
      }
      time.schedule(
          delay,
          () -> {
            boolean applied = c.version() == leaseVersion;
            if (applied) {
              leaseVersion++;
              leaseHolder = c.holder();
            }
            if (!lost) {
              lease(
                  applied
                      ? new LeaseEvent.WriteStored(leaseVersion)
                      : new LeaseEvent.WriteFailed());
            }
          });
    }

    /** The order can arrive long after its sender gave up, for example because it was paused. */
    private void send(DeskCommand.Send c) {
      assertWithMessage("seed %s: token of %s after %s", seed, name, lastSender)
          .that(c.fencingToken())
          .isAtLeast(lastToken);
      if (!lastSender.isEmpty() && !name.equals(lastSender)) {
        takeovers++;
      }
      lastToken = c.fencingToken();
      lastSender = name;
      time.schedule(fault(15) ? within(40_000) : within(200), () -> arrive(c));
      later(Duration.ofSeconds(1), new DeskEvent.OrderEnded(c.order().engine()));
    }

    private void arrive(DeskCommand.Send c) {
      Engine e = engine(c.order().engine());
      if (e.checksFencing && c.fencingToken() < e.highestToken) {
        return;
      }
      e.highestToken = Math.max(e.highestToken, c.fencingToken());
      switch (c.order().kind()) {
        case DRAIN -> time.schedule(within(5_000), () -> e.held = 0);
        case SET_ROLE -> {
          e.role = c.order().role();
          e.held = random.nextInt(3);
        }
        case LOAD_WEIGHTS -> {
          e.loading = true;
          time.schedule(
              within(20_000),
              () -> {
                e.loading = false;
                e.weights = c.order().weights();
              });
        }
      }
    }
  }
}
