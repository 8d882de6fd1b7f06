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
 * The registered upstreams, as far as this node knows. Entries that vanish because the store was
 * away are kept until their owners have had time to register again.
 *
 * <p>Not safe for use by several threads.
 */
public final class InstanceTable {
  /** Time after the return of the store within which live upstreams register again. */
  public static final long REREGISTRATION_NANOS = 2_000_000_000L;

  private final Map<String, Instance> instances = new HashMap<>();
  private final Map<String, Long> removalDeadlines = new HashMap<>();
  private boolean storeUnreachable = true;
  private long storeRecoveredNanos = Long.MIN_VALUE;

  /** Returns the upstreams in force. */
  public Collection<Instance> all() {
    return instances.values();
  }

  /** Returns the upstream with this id, or null. */
  public @Nullable Instance get(String id) {
    return instances.get(id);
  }

  /** Takes note that the store does not answer. */
  public void storeBecameUnreachable() {
    storeUnreachable = true;
  }

  /** Takes note that the store answers; {@code afterOutage} holds back removals for a while. */
  public void storeBecameReachable(long now, boolean afterOutage) {
    if (storeUnreachable && afterOutage) {
      storeRecoveredNanos = now;
    }
    storeUnreachable = false;
  }

  /** Replaces everything that is known by a complete list. */
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

  /** Adds or changes an upstream. */
  public void put(Instance instance) {
    removalDeadlines.remove(instance.id());
    instances.put(instance.id(), instance);
  }

  /** Removes an upstream, later when the store has just come back. */
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

  /** Drops an upstream whose entry can no longer be read. */
  public void discard(String id) {
    instances.remove(id);
    removalDeadlines.remove(id);
  }

  /** Removes upstreams that did not register again in time; returns whether there were any. */
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

  /** Returns the time at which {@link #expire} has something to do, or null. */
  public @Nullable Long nextExpiryNanos() {
    return removalDeadlines.values().stream().min(Long::compare).orElse(null);
  }
}
