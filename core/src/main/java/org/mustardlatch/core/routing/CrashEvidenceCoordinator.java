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

/**
 * Exchanges crash evidence with the other nodes, and decides which attempt of a suspect request may
 * run. Each request fingerprint has one owner node, which grants these permissions.
 */
final class CrashEvidenceCoordinator implements CellAdmission.CrashListener {
  // Two admitting nodes may report the same crash during a handover of the cell. Engines take
  // longer than this to restart, so reports of two nodes within this time are of one crash.
  private static final long DUPLICATE_REPORT_NANOS = 2_500_000_000L;

  // Bounds the reports sent to a joining node. Few crashes happen within the 10 min lifetime of
  // evidence.
  private static final int MAX_RECENT_REPORTS = 200;

  private record RecentReport(CrashReport report, long receivedNanos) {}

  private final CommandCollector commands;
  private final CrashEvidence evidence;
  private final SuspectRunPermissions suspectRuns = new SuspectRunPermissions();
  private final ArrayDeque<RecentReport> recentReports = new ArrayDeque<>();
  private Topology topology;
  private long crashCount;
  private long incarnation;

  CrashEvidenceCoordinator(
      CommandCollector commands, CrashEvidence evidence, Topology topology, long incarnation) {
    this.commands = commands;
    this.evidence = evidence;
    this.topology = topology;
    this.incarnation = incarnation;
  }

  void topologyChanged(Topology next, long nextIncarnation) {
    topology = next;
    incarnation = nextIncarnation;
  }

  /** Records a crash that this node detected and broadcasts it. */
  @Override
  public void engineCrashed(UpstreamId upstream, List<Fingerprint> running) {
    crashCount++;
    String id = commands.self() + "/" + incarnation + "/" + crashCount;
    CrashReport report = new CrashReport(upstream, id, running);
    recordReport(report);
    broadcast(report);
  }

  /** Clears, on every node, the fingerprint of a suspect request that finished without a crash. */
  void clearSuspect(Fingerprint fingerprint) {
    evidence.clear(fingerprint);
    suspectRuns.runEnded(fingerprint);
    broadcast(new Cleared(fingerprint));
  }

  /**
   * Returns the live nodes ranked for a fingerprint: its owner, then the nodes that replace it if
   * it does not respond.
   */
  List<HostId> ownersOf(Fingerprint fingerprint) {
    return topology.rankedOwners(fingerprint.value());
  }

  /**
   * Handles a message about crash evidence, except {@link RunPermission}, which the {@link
   * RequestCoordinator} receives.
   */
  void handle(HostId from, EvidenceMessage message) {
    switch (message) {
      case CrashReport r -> recordReport(r);
      case Cleared c -> {
        evidence.clear(c.fingerprint());
        suspectRuns.runEnded(c.fingerprint());
      }
      case RunRequest r -> {
        Verdict verdict =
            suspectRuns.requestRun(
                r.fingerprint(),
                r.attempt(),
                evidence.suspicionLevel(r.fingerprint(), commands.now()),
                commands.now());
        commands.send(from, new RunPermission(r.fingerprint(), r.attempt(), verdict));
      }
      default ->
          throw new IllegalArgumentException("not a message about crash evidence: " + message);
    }
  }

  /** Drops expired permissions and reports. */
  void tick() {
    suspectRuns.expire(commands.now());
    recentReports.removeIf(r -> commands.now() - r.receivedNanos() >= CrashEvidence.LIFETIME_NANOS);
  }

  /** Sends a message to all other live nodes. */
  void broadcast(EvidenceMessage message) {
    for (Member m : topology.members()) {
      if (!m.host().equals(commands.self())) {
        commands.send(m.host(), message);
      }
    }
  }

  /** Sends the recent crash reports to a node that joined. */
  void sendRecentReports(HostId host) {
    recentReports.forEach(r -> commands.send(host, r.report()));
  }

  /** Records a report once. A second node's report of a crash gets the crash ID of the first. */
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
    evidence.recordCrash(crashId, report.running(), now);
    report.running().forEach(suspectRuns::runEnded);
  }

  private static boolean isSameReporter(RecentReport earlier, CrashReport report) {
    return reporter(earlier.report().crashId()).equals(reporter(report.crashId()));
  }

  /** Returns the host ID at the start of a crash ID. */
  private static String reporter(String crashId) {
    int slash = crashId.indexOf('/');
    return slash < 0 ? crashId : crashId.substring(0, slash);
  }
}
