package org.mustardlatch.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;

/** Cancels attempts that engines hold for node incarnations that are gone. */
final class OrphanedAttemptSweeper {
  /** Cancels per engine and pass; bounds the load on an engine after a node died. */
  static final int MAX_CANCELS_PER_PASS = 32;

  // A node that joined may hold attempts before membership has told this one about it.
  private static final long UNKNOWN_OWNER_GRACE_NANOS = 10_000_000_000L;

  // Far more nodes than are replaced before engines have dropped what they held for them.
  private static final int MAX_DEAD_NODES = 1000;

  private record Owner(HostId host, long incarnation) {}

  private final Effects commands;
  private final Map<Owner, Long> unknownSinceNanos = new HashMap<>();

  /** Nodes that left the live set, with the last incarnation that was known of them. */
  private final LinkedHashMap<HostId, Long> deadNodeIncarnations = new LinkedHashMap<>();

  private Topology topology;

  OrphanedAttemptSweeper(Effects fx, Topology topology) {
    this.commands = fx;
    this.topology = topology;
  }

  void topologyChanged(Topology next) {
    for (Member m : topology.members()) {
      if (next.member(m.host()) == null) {
        deadNodeIncarnations.put(m.host(), m.incarnation());
      }
    }
    deadNodeIncarnations.keySet().removeIf(h -> next.member(h) != null);
    while (deadNodeIncarnations.size() > MAX_DEAD_NODES) {
      deadNodeIncarnations.pollFirstEntry();
    }
    topology = next;
  }

  /** Emits the cancels for one engine's list. */
  void cancelOrphans(
      UpstreamId upstream, List<ReportedAttempt> held, EntrySide own, long incarnation) {
    int cancels = 0;
    for (ReportedAttempt h : held) {
      if (cancels < MAX_CANCELS_PER_PASS && isOrphaned(h, own, incarnation)) {
        commands.emit(new RoutingCommand.CancelHeld(h, upstream));
        cancels++;
      }
    }
  }

  private boolean isOrphaned(ReportedAttempt h, EntrySide own, long incarnation) {
    if (h.owner().equals(commands.self())) {
      return h.incarnation() < incarnation || !own.holds(h.attempt());
    }
    Member m = topology.member(h.owner());
    if (m != null) {
      return h.incarnation() < m.incarnation();
    }
    if (h.incarnation() <= deadNodeIncarnations.getOrDefault(h.owner(), Long.MIN_VALUE)) {
      return true;
    }
    Owner owner = new Owner(h.owner(), h.incarnation());
    long since = unknownSinceNanos.computeIfAbsent(owner, o -> commands.now());
    return commands.now() - since >= UNKNOWN_OWNER_GRACE_NANOS;
  }

  void tick() {
    // Twice the waiting time, so that an owner whose attempts are still listed stays known.
    unknownSinceNanos.values().removeIf(t -> commands.now() - t >= 2 * UNKNOWN_OWNER_GRACE_NANOS);
  }
}
