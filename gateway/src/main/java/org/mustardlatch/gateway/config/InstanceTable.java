package org.mustardlatch.gateway.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The registered upstreams as last read from the store. Entries that disappear because the store
 * was unreachable are kept until their owners have had time to register again.
 *
 * <p>Not thread-safe; the gateway uses it on the event loop only.
 */
public final class InstanceTable {
  /** Time within which live upstreams register again after the store has become reachable. */
  public static final long REREGISTRATION_NANOS = 2_000_000_000L;

  private final Map<String, Instance> instances = new HashMap<>();
  private final Map<String, Long> removalDeadlines = new HashMap<>();
  private boolean storeUnreachable = true;
  private long storeRecoveredNanos = Long.MIN_VALUE;

  /** Returns all upstreams, including those that are kept after an outage of the store. */
  public Collection<Instance> all() {
    return instances.values();
  }

  /** Returns the upstream with the given id, or null if there is none. */
  public @Nullable Instance get(String id) {
    return instances.get(id);
  }

  /** Records that the store is unreachable. */
  public void storeBecameUnreachable() {
    storeUnreachable = true;
  }

  /**
   * Records that the store is reachable.
   *
   * @param now monotonic time in nanoseconds
   * @param afterOutage whether the store was reachable before; if so, removals within the next
   *     {@link #REREGISTRATION_NANOS} are delayed to the end of that time
   */
  public void storeBecameReachable(long now, boolean afterOutage) {
    if (storeUnreachable && afterOutage) {
      storeRecoveredNanos = now;
    }
    storeUnreachable = false;
  }

  /** Puts the upstreams of a complete list, and removes all others as {@link #remove} does. */
  public void replace(List<Instance> listed, long now) {
    Set<String> seen = new HashSet<>();
    for (Instance i : listed) {
      seen.add(i.id());
      put(i);
    }
    for (String id : new ArrayList<>(instances.keySet())) {
      if (!seen.contains(id)) {
        remove(id, now);
      }
    }
  }

  /** Adds or replaces an upstream, and cancels its delayed removal. */
  public void put(Instance instance) {
    removalDeadlines.remove(instance.id());
    instances.put(instance.id(), instance);
  }

  /** Removes an upstream; the removal is delayed if the store has just recovered from an outage. */
  public void remove(String id, long now) {
    if (!instances.containsKey(id)) {
      return;
    }
    if (storeRecoveredNanos != Long.MIN_VALUE && now - storeRecoveredNanos < REREGISTRATION_NANOS) {
      removalDeadlines.putIfAbsent(id, storeRecoveredNanos + REREGISTRATION_NANOS);
    } else {
      instances.remove(id);
      removalDeadlines.remove(id);
    }
  }

  /** Removes, without delay, an upstream whose entry has become unreadable. */
  public void discard(String id) {
    instances.remove(id);
    removalDeadlines.remove(id);
  }

  /** Removes upstreams that did not register again in time; returns whether any were removed. */
  public boolean expire(long now) {
    boolean changed = false;
    for (var e : new ArrayList<>(removalDeadlines.entrySet())) {
      if (now >= e.getValue()) {
        removalDeadlines.remove(e.getKey());
        instances.remove(e.getKey());
        changed = true;
      }
    }
    return changed;
  }

  /** Returns the monotonic time of the next delayed removal in nanoseconds, or null if none. */
  public @Nullable Long nextExpiryNanos() {
    return removalDeadlines.values().stream().min(Long::compare).orElse(null);
  }
}
