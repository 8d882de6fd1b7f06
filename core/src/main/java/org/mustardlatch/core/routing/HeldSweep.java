package org.mustardlatch.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;

/** Cancels attempts that engines hold for node incarnations that are gone. */
final class HeldSweep {
  /** Cancels per engine and pass; bounds the load on an engine after a node died. */
  static final int MAX_CANCELS = 32;

  // A node that joined may hold attempts before membership has told this one about it.
  private static final long UNKNOWN_OWNER_NANOS = 10_000_000_000L;

  // Far more nodes than are replaced before engines have dropped what they held for them.
  private static final int MAX_GONE = 1000;

  private record Owner(HostId host, long incarnation) {}

  private final CommandCollector fx;
  private final Map<Owner, Long> unknownSinceNanos = new HashMap<>();

  /** Nodes that left the live set, with the last incarnation that was known of them. */
  private final LinkedHashMap<HostId, Long> gone = new LinkedHashMap<>();

  private Topology topology;

  HeldSweep(CommandCollector fx, Topology topology) {
    this.fx = fx;
    this.topology = topology;
  }

  void topologyChanged(Topology next) {
    for (Member m : topology.members()) {
      if (next.member(m.host()) == null) {
        gone.put(m.host(), m.incarnation());
      }
    }
    gone.keySet().removeIf(h -> next.member(h) != null);
    while (gone.size() > MAX_GONE) {
      gone.pollFirstEntry();
    }
    topology = next;
  }

  /** Emits the cancels for one engine's list. */
  void sweep(
      UpstreamId upstream, List<HeldAttempt> held, RequestCoordinator own, long incarnation) {
    int cancels = 0;
    for (HeldAttempt h : held) {
      if (cancels < MAX_CANCELS && abandoned(h, own, incarnation)) {
        fx.emit(new RoutingCommand.CancelOrphanedAttempt(h, upstream));
        cancels++;
      }
    }
  }

  private boolean abandoned(HeldAttempt h, RequestCoordinator own, long incarnation) {
    if (h.owner().equals(fx.self())) {
      return h.incarnation() < incarnation || !own.hasLiveAttempt(h.attempt());
    }
    Member m = topology.member(h.owner());
    if (m != null) {
      return h.incarnation() < m.incarnation();
    }
    if (h.incarnation() <= gone.getOrDefault(h.owner(), Long.MIN_VALUE)) {
      return true;
    }
    Owner owner = new Owner(h.owner(), h.incarnation());
    long since = unknownSinceNanos.computeIfAbsent(owner, o -> fx.now());
    return fx.now() - since >= UNKNOWN_OWNER_NANOS;
  }

  void tick() {
    // Twice the waiting time, so that an owner whose attempts are still listed stays known.
    unknownSinceNanos.values().removeIf(t -> fx.now() - t >= 2 * UNKNOWN_OWNER_NANOS);
  }
}
