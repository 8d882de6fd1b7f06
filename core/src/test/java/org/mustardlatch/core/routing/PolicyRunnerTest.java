package org.mustardlatch.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.time.VirtualTimerService;

/** Guards against one decision that fails and ends the periodic decisions, or loses others. */
class PolicyRunnerTest {
  private static final TimerKey TICK = new TimerKey("tick", "self");
  private static final Duration PERIOD = Duration.ofMillis(100);

  private final VirtualTimerService timers = new VirtualTimerService();
  private final List<RoutingEvent> handled = new ArrayList<>();
  private final List<RoutingCommand> executed = new ArrayList<>();
  private boolean policyFails;
  private boolean commandFails;

  private final PolicyRunner runner = new PolicyRunner(timers, this::decide, this::execute);

  /** Sets its timer again after its other work, as a router does. */
  private void decide(RoutingEvent event, long nowNanos, Consumer<RoutingCommand> out) {
    handled.add(event);
    out.accept(explain("first"));
    if (policyFails) {
      throw new IllegalStateException("policy");
    }
    out.accept(explain("second"));
    out.accept(new RoutingCommand.SetTimer(TICK, nowNanos + PERIOD.toNanos()));
  }

  private void execute(RoutingCommand command) {
    if (commandFails && command.equals(explain("first"))) {
      throw new IllegalStateException("command");
    }
    executed.add(command);
  }

  private static RoutingCommand explain(String rule) {
    return new RoutingCommand.Explain(new RequestId("r"), rule, "");
  }

  @Test
  void timerWhoseDecisionFailsFiresAgain() {
    runner.handle(new RoutingEvent.DrainRequested());
    policyFails = true;
    assertThrows(IllegalStateException.class, () -> timers.advance(PERIOD));
    policyFails = false;
    handled.clear();
    timers.advance(PolicyRunner.RETRY_DELAY.plus(PERIOD));

    assertThat(handled)
        .containsExactly(new RoutingEvent.TimerFired(TICK), new RoutingEvent.TimerFired(TICK));
  }

  @Test
  void commandsBeforeAFailureOfThePolicyAreExecuted() {
    policyFails = true;

    assertThrows(
        IllegalStateException.class, () -> runner.handle(new RoutingEvent.DrainRequested()));
    assertThat(executed).containsExactly(explain("first"));
  }

  @Test
  void commandsAfterOneThatFailsAreExecuted() {
    commandFails = true;

    assertThrows(
        IllegalStateException.class, () -> runner.handle(new RoutingEvent.DrainRequested()));
    assertThat(executed).containsExactly(explain("second"));
    commandFails = false;
    timers.advance(PERIOD);
    assertThat(handled).contains(new RoutingEvent.TimerFired(TICK));
  }
}
