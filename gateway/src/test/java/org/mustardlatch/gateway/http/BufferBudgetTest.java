package org.mustardlatch.gateway.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against buffers beyond the memory of a node, and against messages that wait forever. */
class BufferBudgetTest {
  private static final int READ_BYTES = 16 << 10;
  private static final long CAPACITY = 32L << 20;

  private final BufferBudget budget = new BufferBudget(CAPACITY);

  @Test
  void longBodiesThatAreHeldWaitInOrderOfArrival() {
    List<Integer> granted = new ArrayList<>();
    var first = budget.reserve(6 << 20, () -> granted.add(1));
    var second = budget.reserve(4 << 20, () -> granted.add(2));
    // Fits beside the first, but would delay the second if it went ahead.
    var third = budget.reserve(1 << 20, () -> granted.add(3));

    assertThat(first.granted()).isTrue();
    assertThat(second.granted()).isFalse();
    assertThat(third.granted()).isFalse();
    first.close();
    first.close();
    assertThat(granted).containsExactly(2, 3).inOrder();
    second.close();
    third.close();
    assertThat(budget.usedBytes()).isEqualTo(0);
  }

  @Test
  void bodyWhoseCallerLeavesWhileItWaitsDoesNotHoldUpTheNext() {
    List<Integer> granted = new ArrayList<>();
    var first = budget.reserve(5 << 20, () -> granted.add(1));
    var second = budget.reserve(8 << 20, () -> granted.add(2));
    var third = budget.reserve(2 << 20, () -> granted.add(3));

    second.close();

    assertThat(granted).containsExactly(3);
    first.close();
    third.close();
    assertThat(budget.usedBytes()).isEqualTo(0);
  }

  @Test
  void bodyThatCanNeverBeHeldIsNotQueued() {
    assertThat(budget.fits(CAPACITY)).isFalse();
    assertThrows(IllegalArgumentException.class, () -> budget.reserve(CAPACITY, () -> {}));
  }

  @Test
  void smallMessagesAreReservedBesideAnyNumberOfLongOnes() {
    for (int i = 0; i < 2_000; i++) {
      budget.reserve(1 << 20, () -> {});
      budget.openWindow(() -> {}).add(READ_BYTES);
    }

    for (int i = 0; i < 100; i++) {
      var small = budget.tryReserveSmall(BufferBudget.SMALL_BYTES);
      assertThat(small).isNotNull();
    }
  }

  @Test
  void smallMessagesReturnWhatTheyDoNotNeed() {
    List<BufferBudget.Reservation> reservations = new ArrayList<>();
    for (int i = 0; i < 1_000; i++) {
      var r = budget.tryReserveSmall(BufferBudget.SMALL_BYTES);
      assertThat(r).isNotNull();
      r.shrinkTo(1_000);
      reservations.add(r);
    }

    assertThat(budget.usedBytes()).isEqualTo(1_000_000);
    reservations.forEach(BufferBudget.Reservation::close);
    assertThat(budget.usedBytes()).isEqualTo(0);
  }

  @Test
  void slowPeerDoesNotPauseOthers() {
    for (int i = 0; i < 600; i++) {
      BufferBudget.Window w = budget.openWindow(() -> {});
      while (w.mayReceive()) {
        w.add(READ_BYTES);
      }
    }

    BufferBudget.Window other = budget.openWindow(() -> {});

    assertThat(budget.usedBytes()).isAtMost(CAPACITY + 600 * READ_BYTES);
    assertThat(other.mayReceive()).isTrue();
    other.add(READ_BYTES);
    other.release(READ_BYTES);
    assertThat(other.mayReceive()).isTrue();
  }

  @Test
  void windowBeyondTheNumberThatTheNodeCanHoldIsAdmittedInItsTurn() {
    List<BufferBudget.Window> windows = new ArrayList<>();
    BufferBudget.Window last;
    do {
      last = budget.openWindow(() -> {});
      windows.add(last);
    } while (last.mayReceive());
    List<String> resumed = new ArrayList<>();
    BufferBudget.Window next = budget.openWindow(() -> resumed.add("next"));
    assertThat(next.mayReceive()).isFalse();

    windows.getFirst().close();
    assertThat(last.mayReceive()).isTrue();
    assertThat(resumed).isEmpty();
    windows.get(1).close();
    assertThat(resumed).containsExactly("next");
  }

  @Test
  void randomLoadStaysWithinTheCapacityAndReturnsAllOfIt() {
    for (int seed = 0; seed < 50; seed++) {
      Random random = new Random(seed);
      List<BufferBudget.Window> windows = new ArrayList<>();
      List<BufferBudget.Reservation> reservations = new ArrayList<>();
      for (int step = 0; step < 5_000; step++) {
        switch (random.nextInt(5)) {
          case 0 -> windows.add(budget.openWindow(() -> {}));
          case 1 -> reservations.add(budget.reserve(1 + random.nextInt(4 << 20), () -> {}));
          case 2 -> {
            if (!reservations.isEmpty()) {
              reservations.remove(random.nextInt(reservations.size())).close();
            }
          }
          default -> {
            if (!windows.isEmpty()) {
              BufferBudget.Window w = windows.get(random.nextInt(windows.size()));
              if (w.mayReceive()) {
                w.add(1 + random.nextInt(READ_BYTES));
              } else {
                w.release(random.nextInt(2 * READ_BYTES));
              }
            }
          }
        }
        assertThat(budget.usedBytes()).isAtMost(CAPACITY + (long) windows.size() * READ_BYTES);
      }
      windows.forEach(BufferBudget.Window::close);
      reservations.forEach(BufferBudget.Reservation::close);
      assertThat(budget.usedBytes()).isEqualTo(0);
      assertThat(budget.waiting()).isEqualTo(0);
    }
  }
}
