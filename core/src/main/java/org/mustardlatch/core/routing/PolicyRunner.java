package org.mustardlatch.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/**
 * Runs a routing policy on the thread of a timer service. Executes timer commands itself and passes
 * all other commands on; all commands of one event are executed before the next event.
 */
public final class PolicyRunner {
  /** Time after which a timer fires again whose event could not be handled. */
  static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  private final TimerService timers;
  private final RoutingPolicy policy;
  private final Consumer<RoutingCommand> commands;
  private final Map<TimerKey, TimerSubscription> activeTimers = new HashMap<>();

  /**
   * Creates a runner.
   *
   * @param timers timer service whose thread is the only one that may call {@link #handle}
   * @param policy policy that receives the events
   * @param commands receives every command that does not concern a timer; must not call {@link
   *     #handle}
   */
  public PolicyRunner(
      TimerService timers, RoutingPolicy policy, Consumer<RoutingCommand> commands) {
    this.timers = timers;
    this.policy = policy;
    this.commands = commands;
  }

  /**
   * Passes an event to the policy and executes the commands that it emits. Must be called on the
   * thread of the timer service.
   *
   * <p>If the policy or a command throws an exception, the remaining commands are executed before
   * it is thrown again, and a timer that was not set again fires once more after a while.
   */
  public void handle(RoutingEvent event) {
    List<RoutingCommand> emitted = new ArrayList<>();
    RuntimeException failure = null;
    try {
      policy.handle(event, timers.nanos(), emitted::add);
    } catch (RuntimeException e) {
      failure = e;
    }
    for (RoutingCommand command : emitted) {
      try {
        execute(command);
      } catch (RuntimeException e) {
        if (failure == null) {
          failure = e;
        } else {
          failure.addSuppressed(e);
        }
      }
    }
    if (failure != null) {
      retryTimer(event);
      throw failure;
    }
  }

  private void execute(RoutingCommand command) {
    switch (command) {
      case RoutingCommand.SetTimer c -> setTimer(c);
      case RoutingCommand.CancelTimer c -> cancelTimer(c.key());
      default -> commands.accept(command);
    }
  }

  private void retryTimer(RoutingEvent failed) {
    if (failed instanceof RoutingEvent.TimerFired f && !activeTimers.containsKey(f.key())) {
      setTimer(new RoutingCommand.SetTimer(f.key(), timers.nanos() + RETRY_DELAY.toNanos()));
    }
  }

  private void setTimer(RoutingCommand.SetTimer command) {
    cancelTimer(command.key());
    Duration delay = Duration.ofNanos(command.atNanos() - timers.nanos());
    activeTimers.put(command.key(), timers.schedule(delay, () -> timerFired(command.key())));
  }

  private void cancelTimer(TimerKey key) {
    TimerSubscription timer = activeTimers.remove(key);
    if (timer != null) {
      timer.cancel();
    }
  }

  private void timerFired(TimerKey key) {
    activeTimers.remove(key);
    handle(new RoutingEvent.TimerFired(key));
  }
}
