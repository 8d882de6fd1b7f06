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
import org.mustardlatch.core.quarantine.SuspectRuns;

/** Crash evidence of the fleet as this node knows it, and the permissions that it gives. */
final class CrashEvidenceCoordinator implements CellAdmission.CrashListener {
  // Two admitting nodes may report one crash while a cell changes hands. Engines take longer than
  // this to come back, so two reports within it are about the same crash.
  private static final long DUPLICATE_REPORT_NANOS = 2_500_000_000L;

  // Bounds what a joining node is sent; crashes are few in the 10 min that evidence lasts.
  private static final int MAX_RECENT_REPORTS = 200;

  private record RecentReport(CrashReport report, long receivedNanos) {}

  private final Effects commands;
  private final CrashEvidence evidence;
  private final SuspectRuns suspectRuns = new SuspectRuns();
  private final ArrayDeque<RecentReport> recentReports = new ArrayDeque<>();
  private Topology topology;
  private long crashCount;
  private long incarnation;

  CrashEvidenceCoordinator(
      Effects fx, CrashEvidence evidence, Topology topology, long incarnation) {
    this.commands = fx;
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
  public void engineCrashed(UpstreamId upstream, List<Fingerprint> running) {
    crashCount++;
    String id = commands.self() + "/" + incarnation + "/" + crashCount;
    CrashReport report = new CrashReport(upstream, id, running);
    recordReport(report);
    broadcast(report);
  }

  /** Tells every node that a suspect ran to its end. */
  void clearSuspect(Fingerprint fingerprint) {
    evidence.clear(fingerprint);
    suspectRuns.ended(fingerprint);
    broadcast(new Cleared(fingerprint));
  }

  /** Returns the nodes that own a fingerprint, the owner first. */
  List<HostId> ownersOf(Fingerprint fingerprint) {
    return topology.rankedOwners(fingerprint.value());
  }

  /** Handles a message; permissions for requests of this node are not handled here. */
  void handle(HostId from, EvidenceMessage message) {
    switch (message) {
      case CrashReport r -> recordReport(r);
      case Cleared c -> {
        evidence.clear(c.fingerprint());
        suspectRuns.ended(c.fingerprint());
      }
      case RunRequest r -> {
        Verdict verdict =
            suspectRuns.ask(
                r.fingerprint(),
                r.attempt(),
                evidence.standing(r.fingerprint(), commands.now()),
                commands.now());
        commands.send(from, new RunPermission(r.fingerprint(), r.attempt(), verdict));
      }
      default -> throw new IllegalArgumentException("not about crash evidence: " + message);
    }
  }

  void tick() {
    suspectRuns.expire(commands.now());
    recentReports.removeIf(r -> commands.now() - r.receivedNanos() >= CrashEvidence.LIFETIME_NANOS);
  }

  void broadcast(EvidenceMessage message) {
    for (Member m : topology.members()) {
      if (!m.host().equals(commands.self())) {
        commands.send(m.host(), message);
      }
    }
  }

  /** Tells a node that joined about the crashes that it missed. */
  void sendRecentReports(HostId host) {
    recentReports.forEach(r -> commands.send(host, r.report()));
  }

  private void recordReport(CrashReport report) {
    long now = commands.now();
    if (recentReports.stream().anyMatch(r -> r.report().crashId().equals(report.crashId()))) {
      return;
    }
    String crashId = report.crashId();
    for (RecentReport r : recentReports) {
      boolean sameEngine = r.report().upstream().equals(report.upstream());
      if (sameEngine
          && now - r.receivedNanos() < DUPLICATE_REPORT_NANOS
          && !isSameReporter(r, report)) {
        crashId = r.report().crashId();
      }
    }
    if (recentReports.size() == MAX_RECENT_REPORTS) {
      recentReports.removeFirst();
    }
    recentReports.addLast(new RecentReport(report, now));
    evidence.crashed(crashId, report.running(), now);
    report.running().forEach(suspectRuns::ended);
  }

  private static boolean isSameReporter(RecentReport known, CrashReport report) {
    return reporter(known.report().crashId()).equals(reporter(report.crashId()));
  }

  private static String reporter(String crashId) {
    int slash = crashId.indexOf('/');
    return slash < 0 ? crashId : crashId.substring(0, slash);
  }
}
