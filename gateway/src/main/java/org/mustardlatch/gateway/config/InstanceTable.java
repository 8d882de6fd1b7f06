package org.mustardlatch.gateway.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.UpstreamId;

/**
 * The registered upstreams as last read from the store. Entries that disappear because the store
 * was unreachable, or restored from an earlier copy, are kept until their owners have had time to
 * register again. What is known to leave, or was removed, does not come back with such a copy.
 *
 * <p>Not thread-safe; the gateway uses it on the event loop only.
 */
public final class InstanceTable {
  /** Time within which live upstreams register again after the store has become reachable. */
  public static final long REREGISTRATION_NANOS = 2_000_000_000L;

  /** Age up to which the removal of an entry may be missing in a copy of the store. */
  static final long RECENT_REMOVAL_NANOS = 10_000_000_000L;

  private record Removal(Instance instance, long nanos) {}

  private final Map<String, Instance> instances = new HashMap<>();
  private final Map<UpstreamId, Instance> byUpstreamId = new HashMap<>();
  private final Map<String, Removal> recentRemovals = new HashMap<>();
  private final Map<String, Long> removalDeadlines = new HashMap<>();
  private boolean storeUnreachable = true;
  private boolean nextListIsOfCopy;
  private long storeRecoveredNanos = Long.MIN_VALUE;

  /** Returns all upstreams, including those that are kept after an outage of the store. */
  public Collection<Instance> all() {
    return instances.values();
  }

  /** Returns the upstream that registered under a name, or null if there is none. */
  public @Nullable Instance get(String id) {
    return instances.get(id);
  }

  /** Returns the upstream with the given identifier, or null if there is none. */
  public @Nullable Instance get(UpstreamId id) {
    return byUpstreamId.get(id);
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

  /**
   * Records that the store has been restored from an earlier copy, which the next list is from.
   *
   * @param now monotonic time in nanoseconds
   */
  public void storeRestored(long now) {
    storeRecoveredNanos = now;
    dropOldRemovals(now);
    nextListIsOfCopy = true;
  }

  private void dropOldRemovals(long now) {
    recentRemovals.values().removeIf(r -> now - r.nanos() >= RECENT_REMOVAL_NANOS);
  }

  /** Puts the upstreams of a complete list, and removes all others as {@link #remove} does. */
  public void replace(List<Instance> listed, long now) {
    Set<String> seen = new HashSet<>();
    for (Instance i : listed) {
      seen.add(i.id());
      Removal removal = nextListIsOfCopy ? recentRemovals.get(i.id()) : null;
      boolean removed = removal != null && removal.instance().isSameProcess(i);
      put(removed ? i.asLeaving() : i);
    }
    nextListIsOfCopy = false;
    for (String id : new ArrayList<>(instances.keySet())) {
      if (!seen.contains(id)) {
        remove(id, now);
      }
    }
  }

  /**
   * Adds or replaces an upstream, and cancels its delayed removal. A process that is leaving does
   * not return: an entry that says otherwise is older.
   */
  public void put(Instance instance) {
    Instance known = instances.get(instance.id());
    boolean leaving = known != null && known.leaving() && known.isSameProcess(instance);
    removalDeadlines.remove(instance.id());
    recentRemovals.remove(instance.id());
    Instance next = leaving ? instance.asLeaving() : instance;
    instances.put(next.id(), next);
    byUpstreamId.put(next.upstreamId(), next);
  }

  /** Removes an upstream; the removal is delayed if the store has just recovered from an outage. */
  public void remove(String id, long now) {
    if (!instances.containsKey(id)) {
      return;
    }
    if (storeRecoveredNanos != Long.MIN_VALUE && now - storeRecoveredNanos < REREGISTRATION_NANOS) {
      removalDeadlines.putIfAbsent(id, storeRecoveredNanos + REREGISTRATION_NANOS);
    } else {
      drop(id, now);
    }
  }

  private void drop(String id, long now) {
    Instance dropped = take(id);
    dropOldRemovals(now);
    if (dropped != null) {
      recentRemovals.put(id, new Removal(dropped, now));
    }
  }

  private @Nullable Instance take(String id) {
    Instance taken = instances.remove(id);
    removalDeadlines.remove(id);
    if (taken != null) {
      byUpstreamId.remove(taken.upstreamId());
    }
    return taken;
  }

  /** Removes, without delay, an upstream whose entry has become unreadable. */
  public void discard(String id) {
    take(id);
  }

  /** Removes upstreams that did not register again in time; returns whether any were removed. */
  public boolean expire(long now) {
    boolean changed = false;
    for (var e : new ArrayList<>(removalDeadlines.entrySet())) {
      if (now >= e.getValue()) {
        drop(e.getKey(), now);
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
