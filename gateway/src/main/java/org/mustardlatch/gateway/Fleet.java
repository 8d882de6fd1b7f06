package org.mustardlatch.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.config.InstanceTable;
import org.mustardlatch.gateway.http.UpstreamPool;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;
import org.mustardlatch.gateway.store.StoreAnswer;
import org.mustardlatch.gateway.store.StoreListener;
import org.mustardlatch.gateway.store.StoredEntry;

/** The configuration and the upstreams in force on this node, and the connections to them. */
public final class Fleet {
  // Longer than a lost first packet within a region takes to be sent again would be too late.
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
  private static final Duration FRESH_CONNECTION = Duration.ofMillis(500);

  private final EventLoop loop;
  private final TimerService timers;
  private final InstanceTable table = new InstanceTable();
  private final Map<String, Pooled> pools = new HashMap<>();
  private final List<Runnable> listeners = new ArrayList<>();
  private @Nullable GatewayConfiguration configuration;

  private record Pooled(Instance instance, UpstreamPool pool) {}

  /** Creates a fleet that knows nothing. */
  public Fleet(EventLoop loop, TimerService timers) {
    this.loop = loop;
    this.timers = timers;
  }

  /** Calls a task after every change. */
  public void onChange(Runnable task) {
    listeners.add(task);
  }

  /** Returns the configuration in force, or null before there is one. */
  public @Nullable GatewayConfiguration configuration() {
    return configuration;
  }

  /** Returns the upstreams of a service that may get new work. */
  public List<Instance> usable(String service) {
    List<Instance> result = new ArrayList<>();
    for (Instance i : table.all()) {
      if (i.service().equals(service) && !i.leaving()) {
        result.add(i);
      }
    }
    return result;
  }

  /** Returns the upstream with this id, or null. */
  public @Nullable Instance instance(String id) {
    return table.get(id);
  }

  /** Returns all known upstreams. */
  public Collection<Instance> all() {
    return table.all();
  }

  /** Returns the connections to an upstream. */
  public UpstreamPool pool(Instance target) {
    Pooled known = pools.get(target.id());
    if (known != null && known.instance().sameStart(target)) {
      return known.pool();
    }
    if (known != null) {
      known.pool().close();
    }
    var pool = new UpstreamPool(loop, timers, target.address(), CONNECT_TIMEOUT, FRESH_CONNECTION);
    pools.put(target.id(), new Pooled(target, pool));
    return pool;
  }

  private void changed() {
    for (String id : new ArrayList<>(pools.keySet())) {
      Instance i = table.get(id);
      Pooled p = pools.get(id);
      if (p != null && (i == null || !i.sameStart(p.instance()))) {
        pools.remove(id);
        p.pool().close();
      }
    }
    listeners.forEach(Runnable::run);
  }

  private void expireLater() {
    Long at = table.nextExpiryNanos();
    if (at != null) {
      timers.schedule(
          Duration.ofNanos(at - timers.nanos()),
          () -> {
            if (table.expire(timers.nanos())) {
              changed();
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
    public void listed(List<StoredEntry<GatewayConfiguration>> entries, List<String> unreadable) {
      unreadable.forEach(n -> EventLog.log(LogEvent.CONFIGURATION_UNREADABLE, n));
      entries.forEach(e -> apply(e.content()));
    }

    @Override
    public void changed(StoreAnswer.Change<GatewayConfiguration> change) {
      switch (change) {
        case StoreAnswer.Change.Put<GatewayConfiguration> p -> apply(p.entry().content());
        case StoreAnswer.Change.Unreadable<GatewayConfiguration> u ->
            EventLog.log(LogEvent.CONFIGURATION_UNREADABLE, u.name());
        case StoreAnswer.Change.Removed<GatewayConfiguration> r ->
            EventLog.log(LogEvent.CONFIGURATION_UNREADABLE, r.name());
      }
    }

    private void apply(GatewayConfiguration next) {
      GatewayConfiguration now = configuration;
      if (now != null && next.version() <= now.version()) {
        EventLog.log(LogEvent.CONFIGURATION_OLD, next.version(), now.version());
        return;
      }
      configuration = next;
      EventLog.log(LogEvent.CONFIGURATION_APPLIED, next.version(), next.routes().size());
      Fleet.this.changed();
    }

    @Override
    public void reachable(boolean afterOutage) {
      EventLog.log(LogEvent.STORE_REACHABLE, "configuration");
    }

    @Override
    public void unreachable(String reason) {
      EventLog.log(LogEvent.STORE_UNREACHABLE, "configuration", reason);
    }
  }

  private final class InstanceListener implements StoreListener<Instance> {
    @Override
    public void listed(List<StoredEntry<Instance>> entries, List<String> unreadable) {
      unreadable.forEach(n -> EventLog.log(LogEvent.UPSTREAM_ENTRY_UNREADABLE, n));
      table.replace(entries.stream().map(StoredEntry::content).toList(), timers.nanos());
      EventLog.log(LogEvent.UPSTREAMS_LISTED, table.all().size());
      expireLater();
      Fleet.this.changed();
    }

    @Override
    public void changed(StoreAnswer.Change<Instance> change) {
      switch (change) {
        case StoreAnswer.Change.Put<Instance> p -> {
          Instance i = p.entry().content();
          table.put(i);
          EventLog.log(LogEvent.UPSTREAM_ENTRY, i.id(), i.service(), i.zone(), i.leaving());
        }
        case StoreAnswer.Change.Unreadable<Instance> u -> {
          table.discard(u.name());
          EventLog.log(LogEvent.UPSTREAM_ENTRY_UNREADABLE, u.name());
        }
        case StoreAnswer.Change.Removed<Instance> r -> {
          table.remove(r.name(), timers.nanos());
          EventLog.log(LogEvent.UPSTREAM_REMOVED, r.name());
          expireLater();
        }
      }
      Fleet.this.changed();
    }

    @Override
    public void reachable(boolean afterOutage) {
      table.storeAnswers(timers.nanos(), afterOutage);
      EventLog.log(LogEvent.STORE_REACHABLE, "upstreams");
    }

    @Override
    public void unreachable(String reason) {
      table.storeLost();
      EventLog.log(LogEvent.STORE_UNREACHABLE, "upstreams", reason);
    }
  }
}
