package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.time.VirtualTimerService;
import org.mustardlatch.gateway.config.CallerLimits;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.store.StoreResponse.Change;
import org.mustardlatch.gateway.store.StoredEntry;

/**
 * Guards against a configuration or an entry that makes a part of the node fail, and with it what
 * was in force, or all that comes later.
 */
class FleetStateTest {
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final FleetState fleet = new FleetState(group.next(), new VirtualTimerService());
  private final List<Long> seen = new ArrayList<>();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private static GatewayConfiguration configuration(long version) {
    return new GatewayConfiguration(version, List.of(), List.of(), List.of(), CallerLimits.DEFAULT);
  }

  private void put(long version) {
    fleet
        .configurationListener()
        .objectChanged(new Change.Put<>(new StoredEntry<>("main", configuration(version), 1)));
  }

  /** Returns the version in force; 0 if there is none. */
  private long versionInForce() {
    GatewayConfiguration c = fleet.configuration();
    return c == null ? 0 : c.version();
  }

  private static Instance instance(String id, int slots) {
    var address = InetSocketAddress.createUnresolved("10.0.0.1", 80);
    return new Instance(id, 1, "s", address, "a", slots, false, null);
  }

  private void put(Instance instance) {
    fleet
        .instanceListener()
        .objectChanged(new Change.Put<>(new StoredEntry<>(instance.id(), instance, 1)));
  }

  private void list(Instance... instances) {
    fleet
        .instanceListener()
        .objectsListed(
            Arrays.stream(instances).map(i -> new StoredEntry<>(i.id(), i, 1)).toList(), List.of());
  }

  /** Adds a listener that fails for version 2 and upstreams with 13 slots, and one after it. */
  private void addListeners() {
    fleet.onChange(
        () -> {
          if (versionInForce() == 2 || fleet.instances().stream().anyMatch(i -> i.slots() == 13)) {
            throw new IllegalStateException("not prepared for this");
          }
        });
    fleet.onChange(() -> seen.add(versionInForce()));
  }

  @Test
  void versionThatMakesAListenerFailIsRefusedAndTheNextOneApplied() {
    addListeners();
    put(1);
    put(2);
    assertThat(versionInForce()).isEqualTo(1);
    assertThat(seen.getLast()).isEqualTo(1);
    put(3);

    assertThat(versionInForce()).isEqualTo(3);
    assertThat(seen.getLast()).isEqualTo(3);
  }

  @Test
  void firstVersionThatMakesAListenerFailLeavesNoneInForce() {
    addListeners();
    put(2);

    assertThat(versionInForce()).isEqualTo(0);
  }

  @Test
  void entryThatMakesAListenerFailIsRefusedAndTheOneBeforeStays() {
    addListeners();
    put(instance("a", 1));
    put(instance("a", 13));
    put(instance("b", 13));
    put(instance("c", 2));

    assertThat(fleet.instances()).containsExactly(instance("a", 1), instance("c", 2));
  }

  @Test
  void listedEntriesBesideOneThatMakesAListenerFailAreAccepted() {
    addListeners();
    list(instance("a", 1), instance("b", 2));
    list(instance("a", 13), instance("c", 3), instance("d", 13), instance("e", 4));

    assertThat(fleet.instances())
        .containsExactly(instance("a", 1), instance("c", 3), instance("e", 4));
  }

  @Test
  void listenerThatAlwaysFailsHoldsNothingUp() {
    fleet.onChange(
        () -> {
          throw new IllegalStateException("always");
        });
    addListeners();
    put(1);
    put(3);
    list(instance("a", 1));
    put(instance("b", 2));

    assertThat(versionInForce()).isEqualTo(3);
    assertThat(fleet.instances()).containsExactly(instance("a", 1), instance("b", 2));
    assertThat(seen.getLast()).isEqualTo(3);
  }
}
