package org.mustardlatch.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.EvidenceMessage;
import org.mustardlatch.core.peer.EvidenceMessage.Cleared;
import org.mustardlatch.core.peer.EvidenceMessage.CrashReport;
import org.mustardlatch.core.peer.EvidenceMessage.RunPermission;
import org.mustardlatch.core.peer.EvidenceMessage.RunRequest;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;
import org.mustardlatch.core.quarantine.CrashEvidence;
import org.mustardlatch.core.quarantine.SuspectRuns;

/** Crash evidence of the fleet as this node knows it, and the permissions that it gives. */
final class EvidenceSide implements CellAdmission.CrashListener {
  // Two admitting nodes may report one crash while a cell changes hands. Engines take longer than
  // this to come back, so two reports within it are about the same crash.
  private static final long SAME_CRASH_NANOS = 2_500_000_000L;

  private record LastCrash(String crashId, long atNanos) {}

  private final Effects fx;
  private final CrashEvidence evidence;
  private final SuspectRuns runs = new SuspectRuns();
  private final Map<UpstreamId, LastCrash> lastCrashes = new HashMap<>();
  private Topology topology;
  private long crashes;
  private long incarnation;

  EvidenceSide(Effects fx, CrashEvidence evidence, Topology topology, long incarnation) {
    this.fx = fx;
    this.evidence = evidence;
    this.topology = topology;
    this.incarnation = incarnation;
  }

  void topologyChanged(Topology next, long nextIncarnation) {
    topology = next;
    incarnation = nextIncarnation;
    lastCrashes.keySet().removeIf(u -> next.cellOf(u) == null);
  }

  /** Records a crash that this node recognised and tells every node. */
  @Override
  public void crashed(UpstreamId upstream, List<Fingerprint> running) {
    crashes++;
    String id = fx.self() + "/" + incarnation + "/" + crashes;
    CrashReport report = new CrashReport(upstream, id, running);
    record(report);
    broadcast(report);
  }

  /** Tells every node that a suspect ran to its end. */
  void cleared(Fingerprint fingerprint) {
    evidence.clear(fingerprint);
    runs.ended(fingerprint);
    broadcast(new Cleared(fingerprint));
  }

  /** Returns the nodes that own a fingerprint, the owner first. */
  List<HostId> owners(Fingerprint fingerprint) {
    return topology.ownersOf(fingerprint.value());
  }

  /** Handles a message; permissions for requests of this node are not handled here. */
  void handle(HostId from, EvidenceMessage message) {
    switch (message) {
      case CrashReport r -> record(r);
      case Cleared c -> {
        evidence.clear(c.fingerprint());
        runs.ended(c.fingerprint());
      }
      case RunRequest r -> {
        Verdict verdict =
            runs.ask(
                r.fingerprint(),
                r.attempt(),
                evidence.standing(r.fingerprint(), fx.now()),
                fx.now());
        fx.send(from, new RunPermission(r.fingerprint(), r.attempt(), verdict));
      }
      default -> throw new IllegalArgumentException("not about crash evidence: " + message);
    }
  }

  void tick() {
    runs.expire(fx.now());
  }

  void broadcast(EvidenceMessage message) {
    for (Member m : topology.members()) {
      if (!m.host().equals(fx.self())) {
        fx.send(m.host(), message);
      }
    }
  }

  private void record(CrashReport report) {
    long now = fx.now();
    LastCrash last = lastCrashes.get(report.upstream());
    if (last == null || now - last.atNanos() >= SAME_CRASH_NANOS) {
      last = new LastCrash(report.crashId(), now);
      lastCrashes.put(report.upstream(), last);
    }
    evidence.crashed(last.crashId(), report.running(), now);
    report.running().forEach(runs::ended);
  }
}
