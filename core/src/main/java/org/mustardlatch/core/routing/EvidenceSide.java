package org.mustardlatch.core.routing;

import java.util.ArrayDeque;
import java.util.List;
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
import org.mustardlatch.core.quarantine.SuspectRunPermissions;

/** Crash evidence of the fleet as this node knows it, and the permissions that it gives. */
final class EvidenceSide implements CellAdmission.CrashListener {
  // Two admitting nodes may report one crash while a cell changes hands. Engines take longer than
  // this to come back, so two reports within it are about the same crash.
  private static final long SAME_CRASH_NANOS = 2_500_000_000L;

  // Bounds what a joining node is sent; crashes are few in the 10 min that evidence lasts.
  private static final int MAX_RECENT = 200;

  private record Recent(CrashReport report, long atNanos) {}

  private final CommandCollector fx;
  private final CrashEvidence evidence;
  private final SuspectRunPermissions runs = new SuspectRunPermissions();
  private final ArrayDeque<Recent> recent = new ArrayDeque<>();
  private Topology topology;
  private long crashes;
  private long incarnation;

  EvidenceSide(CommandCollector fx, CrashEvidence evidence, Topology topology, long incarnation) {
    this.fx = fx;
    this.evidence = evidence;
    this.topology = topology;
    this.incarnation = incarnation;
  }

  void topologyChanged(Topology next, long nextIncarnation) {
    topology = next;
    incarnation = nextIncarnation;
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
    runs.runEnded(fingerprint);
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
        runs.runEnded(c.fingerprint());
      }
      case RunRequest r -> {
        Verdict verdict =
            runs.requestRun(
                r.fingerprint(),
                r.attempt(),
                evidence.suspicionLevel(r.fingerprint(), fx.now()),
                fx.now());
        fx.send(from, new RunPermission(r.fingerprint(), r.attempt(), verdict));
      }
      default -> throw new IllegalArgumentException("not about crash evidence: " + message);
    }
  }

  void tick() {
    runs.expire(fx.now());
    recent.removeIf(r -> fx.now() - r.atNanos() >= CrashEvidence.LIFETIME_NANOS);
  }

  void broadcast(EvidenceMessage message) {
    for (Member m : topology.members()) {
      if (!m.host().equals(fx.self())) {
        fx.send(m.host(), message);
      }
    }
  }

  /** Tells a node that joined about the crashes that it missed. */
  void introduce(HostId host) {
    recent.forEach(r -> fx.send(host, r.report()));
  }

  private void record(CrashReport report) {
    long now = fx.now();
    if (recent.stream().anyMatch(r -> r.report().crashId().equals(report.crashId()))) {
      return;
    }
    String crashId = report.crashId();
    for (Recent r : recent) {
      boolean sameEngine = r.report().upstream().equals(report.upstream());
      if (sameEngine && now - r.atNanos() < SAME_CRASH_NANOS && !sameReporter(r, report)) {
        crashId = r.report().crashId();
      }
    }
    if (recent.size() == MAX_RECENT) {
      recent.removeFirst();
    }
    recent.addLast(new Recent(report, now));
    evidence.recordCrash(crashId, report.running(), now);
    report.running().forEach(runs::runEnded);
  }

  private static boolean sameReporter(Recent known, CrashReport report) {
    return reporter(known.report().crashId()).equals(reporter(report.crashId()));
  }

  private static String reporter(String crashId) {
    int slash = crashId.indexOf('/');
    return slash < 0 ? crashId : crashId.substring(0, slash);
  }
}
