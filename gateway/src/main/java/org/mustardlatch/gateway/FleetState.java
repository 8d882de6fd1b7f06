package org.mustardlatch.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.config.InstanceTable;
import org.mustardlatch.gateway.http.BufferBudget;
import org.mustardlatch.gateway.http.UpstreamPool;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;
import org.mustardlatch.gateway.store.StoreListener;
import org.mustardlatch.gateway.store.StoreResponse;
import org.mustardlatch.gateway.store.StoredEntry;

/**
 * The active configuration and the registered upstreams as last received from the object store,
 * with a connection pool for each upstream.
 *
 * <p>Used on the event loop of the data path only, once the node has started.
 */
public final class FleetState {
  // Callers cannot wait longer for a connection than it takes within a region to retransmit a lost
  // first packet.
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
  // A connection that was idle for longer carries only requests that may be repeated.
  private static final Duration MAX_IDLE_FOR_NON_REPEATABLE = Duration.ofMillis(500);

  private final EventLoop loop;
  private final TimerService timers;
  private final BufferBudget buffers;
  private final InstanceTable table = new InstanceTable();
  private final Map<String, PooledInstance> pools = new HashMap<>();
  private final Map<String, Long> pauseEndNanos = new HashMap<>();
  private final List<Runnable> listeners = new ArrayList<>();
  private BiConsumer<Instance, HttpResponse> responseObserver = (target, head) -> {};
  private @Nullable GatewayConfiguration configuration;
  private boolean configurationStoreReachable;
  private ConfigurationFreshness freshness;

  private record PooledInstance(Instance instance, UpstreamPool pool) {}

  /** Creates a state without a configuration and without upstreams. */
  public FleetState(EventLoop loop, TimerService timers) {
    this(loop, timers, BufferBudget.ofHeap());
  }

  /** Creates a state without a configuration and without upstreams, with this memory for data. */
  FleetState(EventLoop loop, TimerService timers, BufferBudget buffers) {
    this.loop = loop;
    this.timers = timers;
    this.buffers = buffers;
    this.freshness = new AlwaysFresh(timers);
  }

  /** The freshness of a configuration that is not read from a store. */
  private record AlwaysFresh(TimerService timers) implements ConfigurationFreshness {
    @Override
    public Long confirmedNanos() {
      return timers.nanos();
    }

    @Override
    public void confirm(Consumer<Boolean> result) {
      result.accept(true);
    }
  }

  /** Returns the memory for requests and responses of callers. */
  BufferBudget buffers() {
    return buffers;
  }

  /** Sets what knows how recent the configuration is; before that, it counts as the newest. */
  public void setConfigurationFreshness(ConfigurationFreshness source) {
    freshness = source;
  }

  /** Returns how recent the configuration in force is. */
  ConfigurationFreshness configurationFreshness() {
    return freshness;
  }

  /** Adds a task to run after every change of the configuration or the upstreams. */
  public void onChange(Runnable task) {
    listeners.add(task);
  }

  /** Sets the receiver of the head of each response of an upstream. */
  void observeResponses(BiConsumer<Instance, HttpResponse> observer) {
    responseObserver = observer;
  }

  /** Records that an upstream wants no requests of this node for some time. */
  void pause(Instance target, Duration duration) {
    pauseEndNanos.values().removeIf(end -> timers.nanos() >= end);
    pauseEndNanos.merge(target.id(), timers.nanos() + duration.toNanos(), Math::max);
  }

  private boolean isPaused(Instance i) {
    Long end = pauseEndNanos.get(i.id());
    return end != null && timers.nanos() < end;
  }

  /** Records that an upstream says that it is leaving, which its entry may not do yet or ever. */
  void upstreamLeaving(Instance target) {
    Instance known = table.get(target.id());
    if (known != null && known.isSameProcess(target) && !known.leaving()) {
      table.put(known.asLeaving());
      EventLog.log(LogEvent.UPSTREAM_SAID_LEAVING, target.id());
      closeStalePoolsAndNotify();
    }
  }

  /** Returns the active configuration, or null if none has been received yet. */
  public @Nullable GatewayConfiguration configuration() {
    return configuration;
  }

  /** Returns whether the last read of the configuration from the store succeeded. */
  boolean configurationStoreReachable() {
    return configurationStoreReachable;
  }

  /**
   * Returns the upstreams of a service that accept new work, which excludes those leaving
   * (draining) and those that want none for some time.
   */
  public List<Instance> instancesForNewWork(String service) {
    List<Instance> result = new ArrayList<>();
    for (Instance i : table.all()) {
      if (i.service().equals(service) && !i.leaving() && !isPaused(i)) {
        result.add(i);
      }
    }
    return result;
  }

  /** Returns the upstream that registered under this name, or null. */
  public @Nullable Instance instance(String id) {
    return table.get(id);
  }

  /** Returns the upstream with this identifier, or null. */
  @Nullable Instance instance(UpstreamId id) {
    return table.get(id);
  }

  /** Returns all registered upstreams. */
  public Collection<Instance> instances() {
    return table.all();
  }

  /**
   * Returns the connection pool of an upstream. A pool of an earlier start of the same upstream is
   * closed and replaced.
   */
  public UpstreamPool poolFor(Instance target) {
    PooledInstance existing = pools.get(target.id());
    if (existing != null && existing.instance().isSameProcess(target)) {
      return existing.pool();
    }
    if (existing != null) {
      existing.pool().close();
    }
    var pool =
        new UpstreamPool(
            loop,
            timers,
            target.address(),
            CONNECT_TIMEOUT,
            MAX_IDLE_FOR_NON_REPEATABLE,
            head -> responseObserver.accept(target, head),
            buffers.maxBytesToOneUpstream());
    pools.put(target.id(), new PooledInstance(target, pool));
    return pool;
  }

  /**
   * Closes the pools of removed or restarted upstreams and runs the listeners; returns whether none
   * threw an exception.
   */
  private boolean closeStalePoolsAndNotify() {
    for (String id : new ArrayList<>(pools.keySet())) {
      Instance i = table.get(id);
      PooledInstance p = pools.get(id);
      if (p != null && (i == null || !i.isSameProcess(p.instance()))) {
        pools.remove(id);
        p.pool().close();
      }
    }
    boolean accepted = true;
    for (Runnable l : listeners) {
      try {
        l.run();
      } catch (RuntimeException e) {
        EventLog.log(LogEvent.UNEXPECTED_ERROR, "listener of the fleet's state", e);
        accepted = false;
      }
    }
    return accepted;
  }

  /** Schedules the removal of upstreams that do not register again in time after a store outage. */
  private void scheduleExpiry() {
    Long at = table.nextExpiryNanos();
    if (at != null) {
      timers.schedule(
          Duration.ofNanos(at - timers.nanos()),
          () -> {
            if (table.expire(timers.nanos())) {
              closeStalePoolsAndNotify();
            }
          });
    }
  }

  /** Returns the listener for the object that holds the configuration. */
  public StoreListener<GatewayConfiguration> configurationListener() {
    return new ConfigurationListener();
  }

  /** Returns the listener for the entries of upstreams. */
  public StoreListener<Instance> instanceListener() {
    return new InstanceListener();
  }

  private final class ConfigurationListener implements StoreListener<GatewayConfiguration> {
    @Override
    public void objectsListed(
        List<StoredEntry<GatewayConfiguration>> entries, List<String> unreadable) {
      unreadable.forEach(n -> EventLog.log(LogEvent.CONFIGURATION_UNREADABLE, n));
      entries.forEach(e -> apply(e.content()));
    }

    @Override
    public void objectChanged(StoreResponse.Change<GatewayConfiguration> change) {
      switch (change) {
        case StoreResponse.Change.Put<GatewayConfiguration> p -> apply(p.entry().content());
        case StoreResponse.Change.Unreadable<GatewayConfiguration> u ->
            EventLog.log(LogEvent.CONFIGURATION_UNREADABLE, u.name());
        case StoreResponse.Change.Removed<GatewayConfiguration> r ->
            EventLog.log(LogEvent.CONFIGURATION_UNREADABLE, r.name());
      }
    }

    private void apply(GatewayConfiguration next) {
      GatewayConfiguration current = configuration;
      if (current != null && next.version() <= current.version()) {
        if (next.version() < current.version()) {
          EventLog.log(LogEvent.CONFIGURATION_OLD, next.version(), current.version());
        }
        return;
      }
      configuration = next;
      if (!FleetState.this.closeStalePoolsAndNotify()) {
        configuration = current;
        if (FleetState.this.closeStalePoolsAndNotify()) {
          EventLog.log(LogEvent.CONFIGURATION_REFUSED, next.version());
          return;
        }
        // Listeners fail without the version too.
        configuration = next;
      }
      EventLog.log(LogEvent.CONFIGURATION_APPLIED, next.version(), next.routes().size());
    }

    @Override
    public void storeRestored() {
      EventLog.log(LogEvent.STORE_RESTORED, "configuration");
    }

    @Override
    public void storeReachable(boolean afterOutage) {
      configurationStoreReachable = true;
      EventLog.log(LogEvent.STORE_REACHABLE, "configuration");
    }

    @Override
    public void storeUnreachable(String reason) {
      configurationStoreReachable = false;
      EventLog.log(LogEvent.STORE_UNREACHABLE, "configuration", reason);
    }
  }

  private final class InstanceListener implements StoreListener<Instance> {
    @Override
    public void objectsListed(List<StoredEntry<Instance>> entries, List<String> unreadable) {
      Map<String, Instance> before = new HashMap<>();
      table.all().forEach(i -> before.put(i.id(), i));
      table.replace(entries.stream().map(StoredEntry::content).toList(), timers.nanos());
      EventLog.log(LogEvent.UPSTREAMS_LISTED, table.all().size());
      scheduleExpiry();
      if (!FleetState.this.closeStalePoolsAndNotify()) {
        List<Instance> changed =
            table.all().stream().filter(i -> !i.equals(before.get(i.id()))).toList();
        changed.forEach(i -> restore(i.id(), before.get(i.id())));
        changed.forEach(this::putIfAccepted);
      }
    }

    /** Puts an entry, unless it is what makes a listener fail. */
    private void putIfAccepted(Instance next) {
      Instance before = table.get(next.id());
      table.put(next);
      if (!FleetState.this.closeStalePoolsAndNotify()) {
        restore(next.id(), before);
        if (FleetState.this.closeStalePoolsAndNotify()) {
          EventLog.log(LogEvent.UPSTREAM_REFUSED, next.id());
        } else {
          table.put(next);
        }
      }
    }

    private void restore(String id, @Nullable Instance before) {
      if (before == null) {
        table.discard(id);
      } else {
        table.put(before);
      }
    }

    @Override
    public void objectChanged(StoreResponse.Change<Instance> change) {
      switch (change) {
        case StoreResponse.Change.Put<Instance> p -> {
          Instance i = p.entry().content();
          EventLog.log(
              LogEvent.UPSTREAM_ENTRY,
              i.id(),
              i.service(),
              i.zone(),
              i.leaving(),
              String.valueOf(i.softwareVersion()));
          putIfAccepted(i);
        }
        case StoreResponse.Change.Unreadable<Instance> u -> {
          table.discard(u.name());
          FleetState.this.closeStalePoolsAndNotify();
        }
        case StoreResponse.Change.Removed<Instance> r -> {
          table.remove(r.name(), timers.nanos());
          EventLog.log(LogEvent.UPSTREAM_REMOVED, r.name());
          scheduleExpiry();
          FleetState.this.closeStalePoolsAndNotify();
        }
      }
    }

    @Override
    public void storeRestored() {
      table.storeRestored(timers.nanos());
      EventLog.log(LogEvent.STORE_RESTORED, "upstreams");
    }

    @Override
    public void storeReachable(boolean afterOutage) {
      table.storeBecameReachable(timers.nanos(), afterOutage);
      EventLog.log(LogEvent.STORE_REACHABLE, "upstreams");
    }

    @Override
    public void storeUnreachable(String reason) {
      table.storeBecameUnreachable();
      EventLog.log(LogEvent.STORE_UNREACHABLE, "upstreams", reason);
    }
  }
}
