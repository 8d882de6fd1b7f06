package org.mustardlatch.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.EvidenceMessage;
import org.mustardlatch.core.peer.EvidenceMessage.PromptCrashReport;
import org.mustardlatch.core.peer.EvidenceMessage.PromptPartRun;
import org.mustardlatch.core.peer.EvidenceMessage.PromptPartsCleared;
import org.mustardlatch.core.quarantine.PromptPartEvidence;
import org.mustardlatch.core.quarantine.PromptPartEvidence.Crash;
import org.mustardlatch.core.quarantine.PromptPartEvidence.Suspicion;

/**
 * Shares with the other nodes which prompt parts were on engines that crashed and which completed,
 * so that all of them quarantine a part that crashes engines.
 */
final class PromptPartQuarantine {
  /**
   * Group of the permissions to run a suspect part. Two that run on one engine at a time would both
   * be on its crash, which would not tell them apart.
   */
  static final String RUN_GROUP = "prompt-parts";

  // One message to a node may be lost, for example with a connection that has gone silent.
  private static final int MAX_BROADCASTS = 4;
  private static final long BROADCAST_INTERVAL_NANOS = 1_000_000_000L;
  private static final int LOGGED_PART_DIGITS = 16;

  /** A crash that this node reports. */
  private static final class OwnReport {
    final Crash crash;
    int remainingBroadcasts = MAX_BROADCASTS;
    long nextBroadcastNanos;

    OwnReport(Crash crash) {
      this.crash = crash;
    }
  }

  private final CommandCollector commands;
  private final CrashEvidenceCoordinator coordinator;
  private final PromptPartEvidence evidence;
  private final ArrayDeque<OwnReport> ownReports = new ArrayDeque<>();
  private long clearedCount;

  /**
   * Creates a quarantine without evidence.
   *
   * @param coordinator reaches the other nodes and grants the permissions to run suspects
   * @param evidence record of this node; only this object changes it
   */
  PromptPartQuarantine(
      CommandCollector commands,
      CrashEvidenceCoordinator coordinator,
      PromptPartEvidence evidence) {
    this.commands = commands;
    this.coordinator = coordinator;
    this.evidence = evidence;
  }

  /** Returns what is known against the parts of a prompt. */
  Suspicion suspicion(List<Fingerprint> parts) {
    return evidence.suspicion(parts, commands.now());
  }

  /** Records and reports that an engine crashed while it had a request with these parts. */
  void requestCrashed(UpstreamId upstream, List<Fingerprint> parts, long sentNanos) {
    if (parts.isEmpty()) {
      return;
    }
    Map<Fingerprint, Long> sent = new HashMap<>();
    parts.forEach(p -> sent.put(p, sentNanos));
    Crash crash = new Crash(upstream, commands.now(), sent);
    recordCrash(crash);
    ownReports.add(new OwnReport(crash));
    broadcastDueReports();
  }

  private void recordCrash(Crash crash) {
    Set<Fingerprint> before = evidence.quarantined();
    if (evidence.recordCrash(crash, commands.now())) {
      crash.sentNanos().keySet().forEach(coordinator::suspectRunEnded);
    }
    explainChanges(before);
  }

  private void explainChanges(Set<Fingerprint> before) {
    Set<Fingerprint> after = evidence.quarantined();
    for (Fingerprint part : after) {
      if (!before.contains(part)) {
        String detail = "after " + evidence.crashes().size() + " crashes on record";
        commands.explain(subject(part), "prompt_part_quarantined", detail);
      }
    }
    for (Fingerprint part : before) {
      if (!after.contains(part)) {
        commands.explain(subject(part), "prompt_part_released", "it completed or expired");
      }
    }
  }

  /** Returns the subject under which the decisions about a part are explained. */
  private static RequestId subject(Fingerprint part) {
    return new RequestId("part-" + shortName(part));
  }

  /** Returns the start of the fingerprint of a part, which names it in the log. */
  static String shortName(Fingerprint part) {
    return part.value().substring(0, LOGGED_PART_DIGITS);
  }

  /** Clears the parts of a prompt that completed, on every node if there was evidence. */
  void requestCompleted(List<Fingerprint> parts) {
    List<Fingerprint> cleared = clear(parts);
    if (!cleared.isEmpty()) {
      clearedCount++;
      String id = commands.self() + "/" + commands.now() + "/" + clearedCount;
      coordinator.broadcast(new PromptPartsCleared(id, cleared));
    }
  }

  private List<Fingerprint> clear(List<Fingerprint> parts) {
    Set<Fingerprint> before = evidence.quarantined();
    List<Fingerprint> cleared = evidence.clear(parts, commands.now());
    cleared.forEach(coordinator::suspectRunEnded);
    explainChanges(before);
    return cleared;
  }

  /** Handles a report of another node. */
  void handle(PromptCrashReport report) {
    long crashNanos = commands.now() - report.ageNanos();
    Map<Fingerprint, Long> sent = new HashMap<>();
    report.runs().forEach(r -> sent.merge(r.part(), crashNanos - r.leadNanos(), Math::max));
    recordCrash(new Crash(report.upstream(), crashNanos, sent));
  }

  /** Handles a report of another node. */
  void handle(PromptPartsCleared report) {
    var unused = clear(report.parts());
  }

  /** Repeats reports and drops expired evidence. */
  void tick() {
    Set<Fingerprint> before = evidence.quarantined();
    evidence.expire(commands.now());
    explainChanges(before);
    broadcastDueReports();
  }

  private void broadcastDueReports() {
    for (OwnReport r : ownReports) {
      if (commands.now() >= r.nextBroadcastNanos) {
        r.remainingBroadcasts--;
        r.nextBroadcastNanos = commands.now() + BROADCAST_INTERVAL_NANOS;
        coordinator.broadcast(toReport(r.crash));
      }
    }
    ownReports.removeIf(r -> r.remainingBroadcasts == 0);
  }

  /** Sends the crashes on record to a node that joined. */
  void sendCrashes(HostId host) {
    for (Crash crash : evidence.crashes()) {
      if (!crash.sentNanos().isEmpty()) {
        commands.send(host, toReport(crash));
      }
    }
  }

  private EvidenceMessage toReport(Crash crash) {
    List<PromptPartRun> runs = new ArrayList<>();
    crash
        .sentNanos()
        .forEach((part, sent) -> runs.add(new PromptPartRun(part, crash.crashNanos() - sent)));
    return new PromptCrashReport(crash.upstream(), commands.now() - crash.crashNanos(), runs);
  }
}
