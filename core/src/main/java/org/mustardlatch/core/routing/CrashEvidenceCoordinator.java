package org.mustardlatch.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.EvidenceMessage;
import org.mustardlatch.core.peer.EvidenceMessage.Cleared;
import org.mustardlatch.core.peer.EvidenceMessage.CrashReport;
import org.mustardlatch.core.peer.EvidenceMessage.RunEnded;
import org.mustardlatch.core.peer.EvidenceMessage.RunPermission;
import org.mustardlatch.core.peer.EvidenceMessage.RunRequest;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;
import org.mustardlatch.core.quarantine.CrashEvidence;
import org.mustardlatch.core.quarantine.CrashEvidence.SuspicionLevel;
import org.mustardlatch.core.quarantine.PromptPartEvidence;
import org.mustardlatch.core.quarantine.SuspectRunPermissions;

/**
 * Exchanges crash evidence with the other nodes, and decides which attempt of a suspect request may
 * run. Each request fingerprint has one owner node, which grants these permissions.
 */
final class CrashEvidenceCoordinator implements CrashListener {
  // Several nodes may report the same crash, and may send requests to the upstream until they have
  // noticed it. Upstreams take longer than this to restart, so reports within this time are of one
  // crash.
  private static final long DUPLICATE_REPORT_NANOS = 2_500_000_000L;

  // Bounds the reports sent to a joining node. Few crashes happen within the 10 min lifetime of
  // evidence.
  private static final int MAX_RECENT_REPORTS = 200;

  // One message to a node may be lost, for example with a connection that has gone silent.
  private static final int MAX_BROADCASTS = 4;
  private static final long BROADCAST_INTERVAL_NANOS = 1_000_000_000L;

  /** A report, with the crash that it is counted as. */
  private static final class RecentReport {
    final long receivedNanos;
    final String crashId;
    // Includes fingerprints that were cleared since, which a late repetition must not add again.
    final Set<Fingerprint> counted = new HashSet<>();
    CrashReport report;
    int remainingBroadcasts;
    long nextBroadcastNanos;

    RecentReport(CrashReport report, String crashId, long receivedNanos) {
      this.report = report;
      this.crashId = crashId;
      this.receivedNanos = receivedNanos;
    }
  }

  private final CommandCollector commands;
  private final CrashEvidence evidence;
  private final PromptPartEvidence promptPartEvidence;
  private final SuspectRunPermissions suspectRuns = new SuspectRunPermissions();
  private final ArrayDeque<RecentReport> recentReports = new ArrayDeque<>();
  private Topology topology;
  private long crashCount;
  private long incarnation;

  CrashEvidenceCoordinator(
      CommandCollector commands,
      CrashEvidence evidence,
      PromptPartEvidence promptPartEvidence,
      Topology topology,
      long incarnation) {
    this.commands = commands;
    this.evidence = evidence;
    this.promptPartEvidence = promptPartEvidence;
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
    crashDetected(new CrashReport(upstream, id, running));
  }

  /**
   * Records a crash of a process that is known by an identifier on all nodes. If the process had
   * crashed before and got the requests some time later, it has restarted under the same
   * identifier, which is another crash.
   *
   * @param report report whose crash ID is the identifier of the process
   * @param lastSentNanos monotonic time at which the last of the requests was sent
   */
  void processCrashed(CrashReport report, long lastSentNanos) {
    String id = report.crashId();
    RecentReport earlier = find(id);
    for (int i = 1;
        earlier != null && lastSentNanos - earlier.receivedNanos > DUPLICATE_REPORT_NANOS;
        i++) {
      id = report.crashId() + "#" + i;
      earlier = find(id);
    }
    crashDetected(new CrashReport(report.upstream(), id, report.running()));
  }

  /**
   * Records a crash that this node detected and broadcasts it, several times. Reports of several
   * nodes with the same identifier are of one crash.
   */
  private void crashDetected(CrashReport report) {
    RecentReport recorded = recordReport(report);
    recorded.remainingBroadcasts = MAX_BROADCASTS;
    recorded.nextBroadcastNanos = commands.now();
    broadcastDueReports();
  }

  private void broadcastDueReports() {
    for (RecentReport r : recentReports) {
      if (r.remainingBroadcasts > 0 && commands.now() >= r.nextBroadcastNanos) {
        r.remainingBroadcasts--;
        r.nextBroadcastNanos = commands.now() + BROADCAST_INTERVAL_NANOS;
        broadcast(r.report);
      }
    }
  }

  /** Clears, on every node, the fingerprint of a suspect request that finished without a crash. */
  void clearSuspect(Fingerprint fingerprint) {
    clear(fingerprint);
    broadcast(new Cleared(fingerprint));
  }

  private void clear(Fingerprint fingerprint) {
    suspectRuns.runEnded(fingerprint);
    if (evidence.clear(fingerprint, commands.now())) {
      for (RecentReport r : recentReports) {
        r.report = withoutFingerprint(r.report, fingerprint);
      }
    }
  }

  private static CrashReport withoutFingerprint(CrashReport report, Fingerprint fingerprint) {
    if (!report.running().contains(fingerprint)) {
      return report;
    }
    List<Fingerprint> running = new ArrayList<>(report.running());
    running.remove(fingerprint);
    return new CrashReport(report.upstream(), report.crashId(), running);
  }

  /**
   * Returns the live nodes ranked for a fingerprint or a group of suspects: its owner, then the
   * nodes that replace it if it does not respond.
   */
  List<HostId> ownersOf(String key) {
    return topology.rankedOwners(key);
  }

  /**
   * Handles a message about crash evidence, except {@link RunPermission}, which the {@link
   * RequestCoordinator} receives.
   */
  void handle(HostId from, EvidenceMessage message) {
    switch (message) {
      case CrashReport r -> recordReport(r);
      case Cleared c -> clear(c.fingerprint());
      case RunEnded r -> suspectRuns.runEnded(r.fingerprint(), r.attempt());
      case RunRequest r -> {
        Verdict verdict =
            suspectRuns.requestRun(
                r.fingerprint(),
                r.attempt(),
                r.group(),
                suspicionLevel(r.fingerprint()),
                commands.now());
        commands.send(from, new RunPermission(r.fingerprint(), r.attempt(), verdict));
      }
      default ->
          throw new IllegalArgumentException("not a message about crash evidence: " + message);
    }
  }

  /** Returns the suspicion level of the content of a request, or of a part of a prompt. */
  private SuspicionLevel suspicionLevel(Fingerprint fingerprint) {
    SuspicionLevel partLevel = promptPartEvidence.suspicionLevel(fingerprint);
    return partLevel == SuspicionLevel.CLEAN
        ? evidence.suspicionLevel(fingerprint, commands.now())
        : partLevel;
  }

  /** Ends the permission for a run of a suspect that crashed or completed. */
  void suspectRunEnded(Fingerprint fingerprint) {
    suspectRuns.runEnded(fingerprint);
  }

  /** Repeats recent reports, and drops expired evidence, permissions and reports. */
  void tick() {
    suspectRuns.expire(commands.now());
    evidence.expire(commands.now());
    recentReports.removeIf(r -> commands.now() - r.receivedNanos >= CrashEvidence.LIFETIME_NANOS);
    broadcastDueReports();
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
    recentReports.forEach(r -> commands.send(host, r.report));
  }

  /**
   * Records a report. A repeated one may name further fingerprints. A second node's report of a
   * crash of the same engine gets the crash ID of the first.
   */
  private RecentReport recordReport(CrashReport report) {
    long now = commands.now();
    RecentReport recorded = find(report.crashId());
    if (recorded == null) {
      recorded =
          new RecentReport(
              new CrashReport(report.upstream(), report.crashId(), List.of()),
              countedCrashId(report, now),
              now);
      if (recentReports.size() == MAX_RECENT_REPORTS) {
        recentReports.removeFirst();
      }
      recentReports.addLast(recorded);
    }
    List<Fingerprint> added = new ArrayList<>();
    for (Fingerprint f : report.running()) {
      if (recorded.counted.add(f)) {
        added.add(f);
      }
    }
    evidence.recordCrash(recorded.crashId, added, now);
    added.forEach(suspectRuns::runEnded);
    added.addAll(recorded.report.running());
    recorded.report = new CrashReport(report.upstream(), report.crashId(), added);
    return recorded;
  }

  private @Nullable RecentReport find(String crashId) {
    for (RecentReport r : recentReports) {
      if (r.report.crashId().equals(crashId)) {
        return r;
      }
    }
    return null;
  }

  /** Returns the ID of the crash that a new report is counted as. */
  private String countedCrashId(CrashReport report, long now) {
    for (RecentReport r : recentReports) {
      boolean sameEngine = r.report.upstream().equals(report.upstream());
      if (sameEngine
          && now - r.receivedNanos < DUPLICATE_REPORT_NANOS
          && !reporter(r.report.crashId()).equals(reporter(report.crashId()))) {
        return r.crashId;
      }
    }
    return report.crashId();
  }

  /** Returns the part of a crash ID before the first slash, which names its reporter. */
  private static String reporter(String crashId) {
    int slash = crashId.indexOf('/');
    return slash < 0 ? crashId : crashId.substring(0, slash);
  }
}
