package org.mustardlatch.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.mustardlatch.core.routing.Member;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.routing.RoutingPolicy;
import org.mustardlatch.core.routing.TimerKey;
import org.mustardlatch.core.time.TimerService;

/** One process of the router: its policy, its timers and whether it lives. */
final class ReplayNode {
  private final Member member;
  private final RoutingPolicy policy;
  private final TimerService timers;
  private final BiConsumer<ReplayNode, RoutingCommand> execute;
  private final DecisionTimes times;
  private final Map<TimerKey, Long> pending = new HashMap<>();
  private long timerCount;
  private boolean alive = true;

  /**
   * Creates a live node.
   *
   * @param execute carries out the commands
   * @param times receives the processor time of each event
   */
  ReplayNode(
      Member member,
      RoutingPolicy policy,
      TimerService timers,
      BiConsumer<ReplayNode, RoutingCommand> execute,
      DecisionTimes times) {
    this.member = member;
    this.policy = policy;
    this.timers = timers;
    this.execute = execute;
    this.times = times;
  }

  Member member() {
    return member;
  }

  boolean isAlive() {
    return alive;
  }

  void die() {
    alive = false;
  }

  /** Hands an event to the policy and carries out its commands; does nothing on a dead node. */
  void handle(RoutingEvent event) {
    if (!alive) {
      return;
    }
    List<RoutingCommand> commands = new ArrayList<>();
    long start = System.nanoTime();
    policy.handle(event, timers.nanos(), commands::add);
    times.record(event, System.nanoTime() - start);
    for (RoutingCommand c : commands) {
      switch (c) {
        case RoutingCommand.SetTimer t -> setTimer(t);
        case RoutingCommand.CancelTimer t -> pending.remove(t.key());
        default -> execute.accept(this, c);
      }
    }
  }

  private void setTimer(RoutingCommand.SetTimer t) {
    long number = timerCount++;
    pending.put(t.key(), number);
    timers.schedule(Duration.ofNanos(t.atNanos() - timers.nanos()), () -> fire(t.key(), number));
  }

  private void fire(TimerKey key, long number) {
    if (pending.remove(key, number)) {
      handle(new RoutingEvent.TimerFired(key));
    }
  }
}
