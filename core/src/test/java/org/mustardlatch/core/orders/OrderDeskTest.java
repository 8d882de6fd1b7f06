package org.mustardlatch.core.orders;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.model.UpstreamId;

/** Guards against pools that lose a role, too many loads, and orders given without reading back. */
class OrderDeskTest {
  private final Map<UpstreamId, EngineView> engines = new HashMap<>();
  private final List<EngineGoal> goals = new ArrayList<>();
  private final List<EngineOrder> sent = new ArrayList<>();
  private final OrderDesk desk = new OrderDesk(LeaseTimes.DEFAULT, "me");

  @Test
  void roleChangesGoOneEngineAtATimeThroughDraining() {
    engine("a", "p", UpstreamRole.PREFILL, UpstreamRole.DECODE, 3);
    engine("b", "p", UpstreamRole.PREFILL, UpstreamRole.DECODE, 5);
    engine("c", "p", UpstreamRole.PREFILL, UpstreamRole.PREFILL, 5);
    acquireLease();
    assertThat(kinds()).containsExactly("a DRAIN");
    change("a", UpstreamRole.PREFILL, 0);
    assertThat(kinds()).containsExactly("a SET_ROLE");
    change("a", UpstreamRole.DECODE, 0);
    assertThat(kinds()).containsExactly("b DRAIN");
  }

  @Test
  void lastEngineOfARoleKeepsItUntilAnotherHasIt() {
    engine("a", "p", UpstreamRole.PREFILL, UpstreamRole.DECODE, 0);
    engine("b", "p", UpstreamRole.DECODE, UpstreamRole.PREFILL, 0);
    acquireLease();
    assertThat(kinds()).isEmpty();
    engine("c", "p", UpstreamRole.PREFILL, UpstreamRole.PREFILL, 0);
    readAgain();
    assertThat(kinds()).containsExactly("a SET_ROLE");
  }

  @Test
  void loadsAreBoundedAndStartWhereTheLeastIsFree() {
    for (int i = 0; i < 3; i++) {
      load("busy" + i, "busy", 1);
      load("idle" + i, "idle", 9);
    }
    acquireLease();
    assertThat(kinds()).containsExactly("busy0 LOAD_WEIGHTS", "busy1 LOAD_WEIGHTS");
  }

  @Test
  void nothingIsOrderedBeforeEveryEngineWasReadAfterTheLeaseWasAcquired() {
    engine("a", "p", UpstreamRole.PREFILL, UpstreamRole.MIXED, 0);
    List<DeskCommand> out = new ArrayList<>();
    desk.handle(new DeskEvent.GoalsChanged(goals, 2, 7), 0, out::add);
    EngineView view = new EngineView(new UpstreamId("a"), UpstreamRole.PREFILL, "w1", false, 0, 1);
    desk.handle(new DeskEvent.EngineRead(view), 0, out::add);
    out.clear();
    lease(new LeaseEvent.Wanted(true), out);
    lease(new LeaseEvent.ReadFinished(0, ""), out);
    lease(new LeaseEvent.WriteStored(1), out);
    assertThat(out).contains(new DeskCommand.ReadEngine(new UpstreamId("a")));
    assertThat(out.stream().filter(c -> c instanceof DeskCommand.Send).toList()).isEmpty();
  }

  private void lease(LeaseEvent event, List<DeskCommand> out) {
    desk.handle(new DeskEvent.OfLease(event), 0, out::add);
  }

  private void engine(String name, String pool, UpstreamRole has, UpstreamRole wants, int held) {
    UpstreamId id = new UpstreamId(name);
    engines.put(id, new EngineView(id, has, "w1", false, held, 1));
    goals.add(new EngineGoal(id, pool, wants, "w1"));
  }

  private void load(String name, String pool, int freeSlots) {
    UpstreamId id = new UpstreamId(name);
    engines.put(id, new EngineView(id, UpstreamRole.MIXED, "w1", false, 0, freeSlots));
    goals.add(new EngineGoal(id, pool, UpstreamRole.MIXED, "w2"));
  }

  private void change(String name, UpstreamRole has, int held) {
    UpstreamId id = new UpstreamId(name);
    engines.put(id, new EngineView(id, has, "w1", false, held, 1));
    readAgain();
  }

  private void acquireLease() {
    run(new DeskEvent.OfLease(new LeaseEvent.Wanted(true)));
    run(new DeskEvent.OfLease(new LeaseEvent.ReadFinished(0, "")));
    run(new DeskEvent.OfLease(new LeaseEvent.WriteStored(1)));
    readAgain();
  }

  private void readAgain() {
    sent.clear();
    run(new DeskEvent.GoalsChanged(goals, 2, 7));
  }

  private List<String> kinds() {
    return sent.stream().map(o -> o.engine() + " " + o.kind()).toList();
  }

  /** Runs the event and answers every read and order that follows from it. */
  private void run(DeskEvent event) {
    List<DeskCommand> commands = new ArrayList<>();
    desk.handle(event, 0, commands::add);
    for (DeskCommand command : commands) {
      switch (command) {
        case DeskCommand.ReadEngine c -> {
          EngineView view = engines.get(c.engine());
          run(
              view == null
                  ? new DeskEvent.EngineReadFailed(c.engine())
                  : new DeskEvent.EngineRead(view));
        }
        case DeskCommand.Send c -> {
          sent.add(c.order());
          run(new DeskEvent.OrderEnded(c.order().engine()));
        }
        case DeskCommand.OfLease c -> {}
      }
    }
  }
}
