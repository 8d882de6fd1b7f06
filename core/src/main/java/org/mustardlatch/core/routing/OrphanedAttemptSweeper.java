package org.mustardlatch.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;

/**
 * Cancels orphaned attempts: those in progress on an engine for a node incarnation that is dead or
 * removed, and those of this node that it no longer tracks.
 */
final class OrphanedAttemptSweeper {
  /** Maximum cancels per engine and pass; bounds the load on an engine after a node dies. */
  static final int MAX_CANCELS_PER_PASS = 32;

  // Attempts of a node that has just joined may be listed before membership reports the node here.
  private static final long UNKNOWN_OWNER_GRACE_NANOS = 10_000_000_000L;

  // Far more than the nodes that are replaced within the time in which engines drop the attempts of
  // a dead node.
  private static final int MAX_DEAD_NODES = 1000;

  private record Owner(HostId host, long incarnation) {}

  private final CommandCollector commands;

  /** Times at which attempts of owners that are not in the membership were first listed. */
  private final Map<Owner, Long> unknownSinceNanos = new HashMap<>();

  /** Nodes that left the live set, with their last observed incarnation. */
  private final LinkedHashMap<HostId, Long> deadNodeIncarnations = new LinkedHashMap<>();

  private Topology topology;

  OrphanedAttemptSweeper(CommandCollector commands, Topology topology) {
    this.commands = commands;
    this.topology = topology;
  }

  /** Records the nodes that are no longer live. */
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

  /**
   * Cancels the orphaned attempts in the list of one engine.
   *
   * @param coordinator tracks the attempts of this node
   * @param incarnation the incarnation of this node
   */
  void cancelOrphans(
      UpstreamId upstream,
      List<ReportedAttempt> attempts,
      RequestCoordinator coordinator,
      long incarnation) {
    int cancels = 0;
    for (ReportedAttempt attempt : attempts) {
      if (cancels < MAX_CANCELS_PER_PASS && isOrphaned(attempt, coordinator, incarnation)) {
        commands.emit(new RoutingCommand.CancelOrphanedAttempt(attempt, upstream));
        cancels++;
      }
    }
  }

  private boolean isOrphaned(
      ReportedAttempt attempt, RequestCoordinator coordinator, long incarnation) {
    if (attempt.owner().equals(commands.self())) {
      return attempt.incarnation() < incarnation || !coordinator.hasLiveAttempt(attempt.attempt());
    }
    Member m = topology.member(attempt.owner());
    if (m != null) {
      return attempt.incarnation() < m.incarnation();
    }
    if (attempt.incarnation()
        <= deadNodeIncarnations.getOrDefault(attempt.owner(), Long.MIN_VALUE)) {
      return true;
    }
    Owner owner = new Owner(attempt.owner(), attempt.incarnation());
    long since = unknownSinceNanos.computeIfAbsent(owner, o -> commands.now());
    return commands.now() - since >= UNKNOWN_OWNER_GRACE_NANOS;
  }

  /** Drops entries of unknown owners some time after their grace period. */
  void tick() {
    // Twice the grace period: in the second half, listed attempts of the owner are cancelled.
    unknownSinceNanos.values().removeIf(t -> commands.now() - t >= 2 * UNKNOWN_OWNER_GRACE_NANOS);
  }
}
