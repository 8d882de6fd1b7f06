package org.mustardlatch.core.orders;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against two nodes that may send orders at the same time. */
class OrderLeaseTest {
  private static final LeaseTimes TIMES = LeaseTimes.DEFAULT;
  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  private final List<LeaseCommand> commands = new ArrayList<>();
  private final OrderLease lease = new OrderLease(TIMES, "me");

  @Test
  void freeLeaseIsAcquiredAndItsVersionIsTheFencingToken() {
    acquire(0);
    assertThat(lease.fencingTokenForSending(0)).hasValue(5);
  }

  @Test
  void pausedHolderSendsNothingEvenWithoutATakeover() {
    acquire(0);
    long sendLimitNanos =
        TIMES.term().minus(TIMES.sendTimeout()).minus(TIMES.safetyMargin()).toNanos();
    assertThat(lease.fencingTokenForSending(sendLimitNanos - 1)).hasValue(5);
    assertThat(lease.fencingTokenForSending(sendLimitNanos)).isEmpty();
  }

  @Test
  void successorWaitsForTermAndMarginAfterItFirstReadTheVersion() {
    handle(new LeaseEvent.CandidacyChanged(true), 0);
    handle(new LeaseEvent.ReadFinished(4, "other"), 1);
    long termEndNanos = 1 + TIMES.term().plus(TIMES.safetyMargin()).toNanos();
    handle(new LeaseEvent.TimerFired(), termEndNanos - 1);
    handle(new LeaseEvent.ReadFinished(4, "other"), termEndNanos - 1);
    assertThat(writes()).isEmpty();
    handle(new LeaseEvent.TimerFired(), termEndNanos);
    handle(new LeaseEvent.ReadFinished(4, "other"), termEndNanos);
    assertThat(writes()).containsExactly(new LeaseCommand.Write(4, "me"));
  }

  @Test
  void renewalByTheHolderRestartsTheSuccessorsWait() {
    handle(new LeaseEvent.CandidacyChanged(true), 0);
    handle(new LeaseEvent.ReadFinished(4, "other"), 0);
    handle(new LeaseEvent.TimerFired(), 10 * SECOND);
    handle(new LeaseEvent.ReadFinished(5, "other"), 10 * SECOND);
    handle(new LeaseEvent.TimerFired(), 20 * SECOND);
    handle(new LeaseEvent.ReadFinished(5, "other"), 20 * SECOND);
    assertThat(writes()).isEmpty();
  }

  @Test
  void lostResponseToAnUnappliedRenewalDoesNotExtendTheTerm() {
    acquire(0);
    handle(new LeaseEvent.TimerFired(), 6 * SECOND);
    handle(new LeaseEvent.WriteFailed(), 7 * SECOND);
    handle(new LeaseEvent.TimerFired(), 8 * SECOND);
    handle(new LeaseEvent.ReadFinished(5, "me"), 8 * SECOND);
    assertThat(lease.fencingTokenForSending(9 * SECOND)).isEmpty();
  }

  @Test
  void lostResponseToAnAppliedRenewalExtendsTheTermFromItsSending() {
    acquire(0);
    handle(new LeaseEvent.TimerFired(), 6 * SECOND);
    handle(new LeaseEvent.WriteFailed(), 7 * SECOND);
    handle(new LeaseEvent.TimerFired(), 8 * SECOND);
    handle(new LeaseEvent.ReadFinished(6, "me"), 8 * SECOND);
    assertThat(lease.fencingTokenForSending(14 * SECOND)).hasValue(6);
    assertThat(lease.fencingTokenForSending(15 * SECOND)).isEmpty();
  }

  @Test
  void holderStopsSendingOnceAnotherNodeHasTheLease() {
    acquire(0);
    handle(new LeaseEvent.TimerFired(), 6 * SECOND);
    handle(new LeaseEvent.WriteFailed(), 6 * SECOND);
    handle(new LeaseEvent.TimerFired(), 8 * SECOND);
    handle(new LeaseEvent.ReadFinished(9, "other"), 8 * SECOND);
    assertThat(lease.fencingTokenForSending(8 * SECOND)).isEmpty();
  }

  private void acquire(long nowNanos) {
    handle(new LeaseEvent.CandidacyChanged(true), nowNanos);
    handle(new LeaseEvent.ReadFinished(0, ""), nowNanos);
    handle(new LeaseEvent.WriteStored(5), nowNanos);
    assertThat(commands).contains(new LeaseCommand.Acquired());
  }

  private void handle(LeaseEvent event, long nowNanos) {
    lease.handle(event, nowNanos, commands::add);
  }

  private List<LeaseCommand> writes() {
    return commands.stream().filter(c -> c instanceof LeaseCommand.Write).toList();
  }
}
