package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.EvidenceMessage.EvidenceRequest;
import org.mustardlatch.core.peer.EvidenceMessage.EvidenceSent;

/**
 * Requests, after the start of this node, what others know about crashes and leaving upstreams.
 * Ends when a node has responded that knows what the fleet knows, or when all requested nodes have
 * responded, none of which knows: all of them have just started.
 */
final class EvidenceSync {
  // More than one, because a node may have just started or be about to fail.
  private static final int MAX_SOURCES = 3;

  // One message may be lost, for example with a connection that has gone silent.
  private static final long REPETITION_NANOS = 300_000_000;

  private final CommandCollector commands;
  private final Set<HostId> unanswered = new HashSet<>();
  private final Set<HostId> requested = new HashSet<>();
  private long requestedNanos;
  private boolean complete;

  EvidenceSync(CommandCollector commands) {
    this.commands = commands;
  }

  /** Returns whether this node knows what the fleet knows. */
  boolean isComplete() {
    return complete;
  }

  /** Requests the evidence of nodes that have not been requested yet. */
  void topologyChanged(Topology topology) {
    if (complete) {
      return;
    }
    for (HostId host : topology.rankedOwners(commands.self().value())) {
      boolean isSource = !host.equals(commands.self()) && requested.size() < MAX_SOURCES;
      if (isSource && requested.add(host)) {
        unanswered.add(host);
        send(host);
      }
    }
    unanswered.removeIf(h -> topology.member(h) == null);
  }

  private void send(HostId host) {
    requestedNanos = commands.now();
    commands.send(host, new EvidenceRequest());
  }

  /** Handles the end of the evidence of a node. */
  void evidenceReceived(HostId from, EvidenceSent message) {
    unanswered.remove(from);
    complete |= message.complete() || (unanswered.isEmpty() && requested.contains(from));
  }

  /** Repeats requests without a response. */
  void tick() {
    if (!complete && commands.now() - requestedNanos >= REPETITION_NANOS) {
      List<HostId> hosts = new ArrayList<>(unanswered);
      hosts.forEach(this::send);
    }
  }
}
