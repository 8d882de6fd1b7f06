package org.mustardlatch.gateway.config;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;

/** Guards against requests to removed upstreams, and against the loss of live ones in an outage. */
class InstanceTableTest {
  private static final long SECOND = 1_000_000_000;

  private final InstanceTable table = new InstanceTable();

  private static Instance instance(String id) {
    return new Instance(
        id,
        1,
        "s",
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
        "a",
        1,
        false,
        null);
  }

  private boolean isLeaving(String id) {
    return Objects.requireNonNull(table.get(id)).leaving();
  }

  @Test
  void removesAnEntryImmediatelyWithoutARecentOutage() {
    table.storeBecameReachable(0, false);
    table.replace(List.of(instance("x")), 0);

    table.remove("x", SECOND);

    assertThat(table.get("x")).isNull();
  }

  @Test
  void keepsAnEntryThatExpiredInAnOutageForTheReregistrationPeriod() {
    table.storeBecameReachable(0, false);
    table.replace(List.of(instance("x"), instance("y")), 0);
    table.storeBecameUnreachable();
    table.storeBecameReachable(10 * SECOND, true);

    table.replace(List.of(instance("y")), 10 * SECOND);
    assertThat(table.get("x")).isNotNull();

    assertThat(table.expire(12 * SECOND)).isTrue();
    assertThat(table.get("x")).isNull();
    assertThat(table.get("y")).isNotNull();
  }

  @Test
  void keepsAnEntryThatWasRegisteredAgainInTime() {
    table.storeBecameReachable(0, false);
    table.replace(List.of(instance("x")), 0);
    table.storeBecameUnreachable();
    table.storeBecameReachable(10 * SECOND, true);
    table.remove("x", 10 * SECOND);

    table.put(instance("x"));

    assertThat(table.expire(13 * SECOND)).isFalse();
    assertThat(table.get("x")).isNotNull();
  }

  @Test
  void upstreamThatLeavesDoesNotReturnWithACopyOfTheStore() {
    table.storeBecameReachable(0, false);
    table.replace(List.of(instance("x").asLeaving(), instance("y")), 0);
    table.remove("y", SECOND);

    table.storeRestored(2 * SECOND);
    table.replace(List.of(instance("x"), instance("y")), 2 * SECOND);

    assertThat(isLeaving("x")).isTrue();
    assertThat(isLeaving("y")).isTrue();
  }

  @Test
  void upstreamThatIsMissingInACopyOfTheStoreHasTimeToRegisterAgain() {
    table.storeBecameReachable(0, false);
    table.replace(List.of(instance("x"), instance("y")), 0);
    table.storeRestored(10 * SECOND);
    table.replace(List.of(), 10 * SECOND);
    table.put(instance("x"));

    assertThat(table.get("y")).isNotNull();
    assertThat(table.expire(12 * SECOND)).isTrue();
    assertThat(isLeaving("x")).isFalse();
    assertThat(table.get("y")).isNull();
  }

  @Test
  void upstreamThatStartedAgainIsNotTakenForTheOneThatLeft() {
    table.storeBecameReachable(0, false);
    table.replace(List.of(instance("x").asLeaving()), 0);
    Instance x = instance("x");
    table.put(
        new Instance(
            x.id(), 2, x.service(), x.address(), x.zone(), x.slots(), x.leaving(), x.stage()));

    assertThat(isLeaving("x")).isFalse();
  }
}
