package org.mustardlatch.gateway.node;

import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.ConfigurationFreshness;
import org.mustardlatch.gateway.FleetState;
import org.mustardlatch.gateway.Peers;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;
import org.mustardlatch.gateway.store.StoreCodec;
import org.mustardlatch.gateway.store.StoreListener;
import org.mustardlatch.gateway.store.StoreReader;
import org.mustardlatch.gateway.store.StoreResponse;
import org.mustardlatch.gateway.store.StoreWatcher;
import org.mustardlatch.gateway.store.StoredEntry;

/**
 * Reads the configuration from the store and shares it with the other nodes. Every node watches a
 * small one. A version of a large one would fill the link between the regions if every node read
 * it: some nodes of each region watch it, and the others check the store from time to time in case
 * none of those reaches it.
 *
 * <p>Used on the event loop of the data path.
 */
final class ConfigurationExchange
    implements StoreListener<GatewayConfiguration>,
        Peers.ConfigurationReceiver,
        ConfigurationFreshness {
  // Takes some hundredths of a second on the link of a small host.
  private static final int MAX_SMALL_LENGTH = 64 << 10;

  private final FleetState fleet;
  private final Peers peers;
  private final StoreCodec<GatewayConfiguration> codec;
  private final StoreListener<GatewayConfiguration> fleetListener;
  private final StoreWatcher<GatewayConfiguration> watcher;
  private boolean large;
  private boolean watchesLarge = true;

  /** Creates an exchange that does nothing before {@link #start}. */
  ConfigurationExchange(
      FleetState fleet,
      Peers peers,
      StoreCodec<GatewayConfiguration> codec,
      StoreReader<GatewayConfiguration> reader,
      TimerService timers,
      RandomGenerator random) {
    this.fleet = fleet;
    this.peers = peers;
    this.codec = codec;
    this.fleetListener = fleet.configurationListener();
    this.watcher = new StoreWatcher<>(timers, reader, this, random);
  }

  /** Starts to read the store. */
  void start() {
    watcher.start();
  }

  @Override
  public @Nullable Long confirmedNanos() {
    return watcher.confirmedNanos();
  }

  @Override
  public void confirm(Consumer<Boolean> result) {
    watcher.checkNow(result);
  }

  private boolean isInForce(long version) {
    GatewayConfiguration c = fleet.configuration();
    return c != null && c.version() >= version;
  }

  private void share(StoredEntry<GatewayConfiguration> entry) {
    String source = entry.source();
    long version = entry.content().version();
    if (source != null && isInForce(version)) {
      updateWatching(source);
      peers.shareConfiguration(version, source);
    }
  }

  private void updateWatching(String source) {
    large = source.length() > MAX_SMALL_LENGTH;
    watcher.setWatching(!large || watchesLarge);
  }

  @Override
  public void objectsListed(
      List<StoredEntry<GatewayConfiguration>> entries, List<String> unreadable) {
    fleetListener.objectsListed(entries, unreadable);
    entries.forEach(this::share);
  }

  @Override
  public void objectChanged(StoreResponse.Change<GatewayConfiguration> change) {
    fleetListener.objectChanged(change);
    if (change instanceof StoreResponse.Change.Put<GatewayConfiguration> put) {
      share(put.entry());
    }
  }

  @Override
  public void storeRestored() {
    fleetListener.storeRestored();
  }

  @Override
  public void storeReachable(boolean afterOutage) {
    fleetListener.storeReachable(afterOutage);
  }

  @Override
  public void storeUnreachable(String reason) {
    fleetListener.storeUnreachable(reason);
  }

  @Override
  public boolean configurationShared(long version, String source) {
    if (isInForce(version)) {
      return true;
    }
    StoredEntry<GatewayConfiguration> entry;
    try {
      entry = codec.decode(source);
    } catch (RuntimeException e) {
      // Whatever is wrong with it, the peers have to hear that it is not usable here.
      EventLog.log(LogEvent.CONFIGURATION_UNREADABLE, "from a peer: " + e.getMessage());
      return false;
    }
    EventLog.log(LogEvent.CONFIGURATION_RECEIVED, version);
    fleetListener.objectChanged(new StoreResponse.Change.Put<>(entry));
    boolean accepted = isInForce(version);
    if (accepted) {
      updateWatching(source);
      watcher.receivedFromPeer(entry.name(), entry.revision());
    }
    return accepted;
  }

  @Override
  public void watchChanged(boolean watch) {
    EventLog.log(LogEvent.CONFIGURATION_WATCH, watch);
    watchesLarge = watch;
    watcher.setWatching(!large || watch);
  }
}
