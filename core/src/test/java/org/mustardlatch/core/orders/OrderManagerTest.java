package org.mustardlatch.core.orders;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.model.UpstreamId;

/**
 * Guards against pools that lose a role, against too many concurrent loads and against orders that
 * are sent before the engines were read.
 */
class OrderManagerTest {
  private final Map<UpstreamId, ReportedEngineState> engines = new HashMap<>();
  private final List<DesiredEngineState> desiredStates = new ArrayList<>();
  private final List<EngineOrder> sentOrders = new ArrayList<>();
  private final OrderManager manager = new OrderManager(LeaseTimes.DEFAULT, "me");

  @Test
  void roleChangesGoOneEngineAtATimeThroughDraining() {
    addEngine("a", "p", UpstreamRole.PREFILL, UpstreamRole.DECODE, 3);
    addEngine("b", "p", UpstreamRole.PREFILL, UpstreamRole.DECODE, 5);
    addEngine("c", "p", UpstreamRole.PREFILL, UpstreamRole.PREFILL, 5);
    acquireLease();
    assertThat(sentKinds()).containsExactly("a DRAIN");
    changeEngine("a", UpstreamRole.PREFILL, 0);
    assertThat(sentKinds()).containsExactly("a SET_ROLE");
    changeEngine("a", UpstreamRole.DECODE, 0);
    assertThat(sentKinds()).containsExactly("b DRAIN");
  }

  @Test
  void lastEngineOfARoleKeepsItUntilAnotherEngineHasIt() {
    addEngine("a", "p", UpstreamRole.PREFILL, UpstreamRole.DECODE, 0);
    addEngine("b", "p", UpstreamRole.DECODE, UpstreamRole.PREFILL, 0);
    acquireLease();
    assertThat(sentKinds()).isEmpty();
    addEngine("c", "p", UpstreamRole.PREFILL, UpstreamRole.PREFILL, 0);
    replan();
    assertThat(sentKinds()).containsExactly("a SET_ROLE");
  }

  @Test
  void loadsAreBoundedAndStartInThePoolWithTheFewestFreeSlots() {
    for (int i = 0; i < 3; i++) {
      addEngineToLoad("busy" + i, "busy", 1);
      addEngineToLoad("idle" + i, "idle", 9);
    }
    acquireLease();
    assertThat(sentKinds()).containsExactly("busy0 LOAD_WEIGHTS", "busy1 LOAD_WEIGHTS");
  }

  @Test
  void noOrderIsSentBeforeEveryEngineWasReadAfterTheLeaseWasAcquired() {
    addEngine("a", "p", UpstreamRole.PREFILL, UpstreamRole.MIXED, 0);
    List<OrderManagerCommand> out = new ArrayList<>();
    manager.handle(new OrderManagerEvent.DesiredStatesChanged(desiredStates, 2, 7), 0, out::add);
    ReportedEngineState state =
        new ReportedEngineState(new UpstreamId("a"), UpstreamRole.PREFILL, "w1", false, 0, 1);
    manager.handle(new OrderManagerEvent.EngineRead(state), 0, out::add);
    out.clear();
    handleLeaseEvent(new LeaseEvent.CandidacyChanged(true), out);
    handleLeaseEvent(new LeaseEvent.ReadFinished(0, ""), out);
    handleLeaseEvent(new LeaseEvent.WriteStored(1), out);
    assertThat(out).contains(new OrderManagerCommand.ReadEngine(new UpstreamId("a")));
    assertThat(out.stream().filter(c -> c instanceof OrderManagerCommand.SendOrder).toList())
        .isEmpty();
  }

  private void handleLeaseEvent(LeaseEvent event, List<OrderManagerCommand> out) {
    manager.handle(new OrderManagerEvent.LeaseEventReceived(event), 0, out::add);
  }

  private void addEngine(
      String name,
      String pool,
      UpstreamRole currentRole,
      UpstreamRole desiredRole,
      int openRequests) {
    UpstreamId id = new UpstreamId(name);
    engines.put(id, new ReportedEngineState(id, currentRole, "w1", false, openRequests, 1));
    desiredStates.add(new DesiredEngineState(id, pool, desiredRole, "w1"));
  }

  private void addEngineToLoad(String name, String pool, int freeSlots) {
    UpstreamId id = new UpstreamId(name);
    engines.put(id, new ReportedEngineState(id, UpstreamRole.MIXED, "w1", false, 0, freeSlots));
    desiredStates.add(new DesiredEngineState(id, pool, UpstreamRole.MIXED, "w2"));
  }

  private void changeEngine(String name, UpstreamRole currentRole, int openRequests) {
    UpstreamId id = new UpstreamId(name);
    engines.put(id, new ReportedEngineState(id, currentRole, "w1", false, openRequests, 1));
    replan();
  }

  private void acquireLease() {
    run(new OrderManagerEvent.LeaseEventReceived(new LeaseEvent.CandidacyChanged(true)));
    run(new OrderManagerEvent.LeaseEventReceived(new LeaseEvent.ReadFinished(0, "")));
    run(new OrderManagerEvent.LeaseEventReceived(new LeaseEvent.WriteStored(1)));
    replan();
  }

  private void replan() {
    sentOrders.clear();
    run(new OrderManagerEvent.DesiredStatesChanged(desiredStates, 2, 7));
  }

  private List<String> sentKinds() {
    return sentOrders.stream().map(o -> o.engine() + " " + o.kind()).toList();
  }

  /** Handles the event and completes every read and order that results from it. */
  private void run(OrderManagerEvent event) {
    List<OrderManagerCommand> commands = new ArrayList<>();
    manager.handle(event, 0, commands::add);
    for (OrderManagerCommand command : commands) {
      switch (command) {
        case OrderManagerCommand.ReadEngine c -> {
          ReportedEngineState state = engines.get(c.engine());
          run(
              state == null
                  ? new OrderManagerEvent.EngineReadFailed(c.engine())
                  : new OrderManagerEvent.EngineRead(state));
        }
        case OrderManagerCommand.SendOrder c -> {
          sentOrders.add(c.order());
          run(new OrderManagerEvent.OrderEnded(c.order().engine()));
        }
        case OrderManagerCommand.ExecuteLeaseCommand c -> {}
      }
    }
  }
}
