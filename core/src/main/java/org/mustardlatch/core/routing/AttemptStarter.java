package org.mustardlatch.core.routing;

import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;
import org.mustardlatch.core.quarantine.CrashEvidence;
import org.mustardlatch.core.quarantine.CrashEvidence.SuspicionLevel;
import org.mustardlatch.core.quarantine.PromptPartEvidence.Suspicion.None;
import org.mustardlatch.core.quarantine.PromptPartEvidence.Suspicion.Quarantined;
import org.mustardlatch.core.quarantine.PromptPartEvidence.Suspicion.Suspect;

/**
 * Starts the attempts of a request: checks for quarantine, requests the permission that a suspect
 * needs to run, and chooses a cell of this or another region. A suspect is a request whose content
 * was on an engine that crashed, or with a part that may be the cause of several crashes.
 */
final class AttemptStarter {
  private static final int MAX_LOCAL_CELLS = 2;
  // Time to process messages that arrived during a pause, mainly leaving notices, before new work
  // starts.
  private static final long PAUSE_RECOVERY_NANOS = 200_000_000;

  /** Operations of the coordinator that owns the requests. */
  interface RequestCallbacks {
    /** Sends an error to the caller as the final response. */
    void refuse(EntryRequest q, ErrorCode code, String detail, Duration retryAfter);

    /** Sets the timer of a request to the next check of its attempts. */
    void updateTimer(EntryRequest q);
  }

  private final CommandCollector commands;
  private final NodeSettings settings;
  private final CrashEvidence evidence;
  private final PromptPartQuarantine promptParts;
  private final RunPermissionClient permissionClient;
  private final CellChooser cellChooser;
  private final CrossRegionPolicy crossRegionPolicy;
  private final AttemptDriver driver;
  private final RegionId region;
  private final RequestCallbacks callbacks;
  private Topology topology = new Topology(null, List.of());

  /** Monotonic time before which no attempt starts, after a pause. */
  private long earliestStartNanos = Long.MIN_VALUE;

  AttemptStarter(
      CellAdmission.Environment env,
      PromptPartQuarantine promptParts,
      RunPermissionClient permissionClient,
      CellChooser cellChooser,
      CrossRegionPolicy crossRegionPolicy,
      AttemptDriver driver,
      RegionId region,
      RequestCallbacks callbacks) {
    this.commands = env.commands();
    this.settings = env.settings();
    this.evidence = env.evidence();
    this.promptParts = promptParts;
    this.permissionClient = permissionClient;
    this.cellChooser = cellChooser;
    this.crossRegionPolicy = crossRegionPolicy;
    this.driver = driver;
    this.region = region;
    this.callbacks = callbacks;
  }

  void topologyChanged(Topology next) {
    topology = next;
  }

  /** Delays new attempts until the messages that arrived during a pause have been processed. */
  void delayNewAttempts() {
    earliestStartNanos = commands.now() + PAUSE_RECOVERY_NANOS;
  }

  /**
   * Starts an attempt with a prefill. A suspect first needs a permission; a quarantined or expired
   * request is refused.
   */
  void startAttempt(EntryRequest q) {
    long now = commands.now();
    if (now < earliestStartNanos) {
      commands.explain(q.request.id(), "held_back", "this node reads what it missed in a pause");
      commands.setTimer(RequestCoordinator.TIMER_KIND, q.request.id().value(), earliestStartNanos);
      return;
    }
    if (now >= q.request.finalDeadlineNanos()) {
      callbacks.refuse(q, ErrorCode.DEADLINE_EXCEEDED, "the final deadline passed", Duration.ZERO);
      return;
    }
    if (refuseIfPartQuarantined(q)) {
      return;
    }
    SuspicionLevel suspicionLevel = evidence.suspicionLevel(q.request.fingerprint(), now);
    if (suspicionLevel == SuspicionLevel.QUARANTINED) {
      refuseQuarantined(q);
    } else if (q.suspectRunPermitted) {
      startLocally(q);
    } else if (promptParts.suspicion(q.request.promptParts()) instanceof Suspect(Fingerprint p)) {
      q.suspectPart = p;
      requestPermission(q, p, PromptPartQuarantine.RUN_GROUP);
    } else if (suspicionLevel == SuspicionLevel.SUSPECT) {
      requestPermission(q, q.request.fingerprint(), "");
    } else {
      startLocally(q);
    }
  }

  /** Refuses a request if a part of its prompt is quarantined; returns whether it is. */
  boolean refuseIfPartQuarantined(EntryRequest q) {
    return switch (promptParts.suspicion(q.request.promptParts())) {
      case Quarantined(Fingerprint part) -> {
        String detail =
            "part " + PromptPartQuarantine.shortName(part) + " of its prompt crashed engines";
        callbacks.refuse(q, ErrorCode.REQUEST_QUARANTINED, detail, Duration.ZERO);
        yield true;
      }
      case Suspect s -> false;
      case None n -> false;
    };
  }

  /**
   * Starts an attempt in a cell of this region. Prefers another region if that cell has no prefill
   * engine, and falls back to it if no local cell is left.
   */
  private void startLocally(EntryRequest q) {
    Cell cell = cellChooser.chooseLocal(topology, q.request.model(), q.refusedCells, q::mayUse);
    if (cell == null || q.refusedCells.size() >= MAX_LOCAL_CELLS) {
      startRemotely(q, ErrorCode.UPSTREAM_UNAVAILABLE, RequestCoordinator.RETRY_AFTER);
      return;
    }
    boolean preferRemote = !cell.hasPrefillEngine() && !q.remoteCellContacted;
    Cell remote =
        preferRemote
            ? crossRegionPolicy.chooseCell(q, topology, c -> c.hasPrefillEngine() && q.mayUse(c))
            : null;
    q.remoteCellContacted |= remote != null;
    requestReservation(q, remote == null ? cell : remote, null);
  }

  /**
   * Starts an attempt in a cell.
   *
   * @param inheritedKv KV cache to reuse; null to start with a prefill
   */
  void requestReservation(EntryRequest q, Cell cell, @Nullable KvHandle inheritedKv) {
    Attempt a = new Attempt(q.nextAttempt(), cell, inheritedKv);
    q.current = a;
    a.enterState(Attempt.State.ASKING, commands.now());
    if (driver.contactNextNode(q, a)) {
      callbacks.updateTimer(q);
    } else {
      q.current = null;
      handleCellRefusal(
          q, cell.name(), ErrorCode.UPSTREAM_UNAVAILABLE, RequestCoordinator.RETRY_AFTER);
    }
  }

  /** Starts an attempt in another region after the local cells refused, or refuses the request. */
  private void startRemotely(EntryRequest q, ErrorCode code, Duration retryAfter) {
    Cell cell =
        q.attemptCount() < RequestCoordinator.MAX_ATTEMPTS
            ? crossRegionPolicy.chooseCell(q, topology, q::mayUse)
            : null;
    if (cell != null) {
      requestReservation(q, cell, null);
    } else {
      callbacks.refuse(q, code, "no cell can meet the first-token deadline", retryAfter);
    }
  }

  /**
   * Also requests a reservation from another region if the predicted wait in the local queue is
   * long. The first grant is used.
   */
  void requestRemoteHedge(EntryRequest q, Attempt a, long waitNanos) {
    long budget = q.request.firstTokenDeadlineNanos() - q.arrivedNanos;
    // The link between the regions is for requests that can be on time.
    boolean waitIsLong =
        budget > 0 && waitNanos > settings.policyParameters().crossRegionWaitShare() * budget;
    boolean isLocal = a == q.current && a.cell.region().equals(region);
    if (!waitIsLong || !isLocal || q.remoteCellContacted || q.hedge != null || q.tokensSent > 0) {
      return;
    }
    Cell cell = crossRegionPolicy.chooseCell(q, topology, Cell::hasPrefillEngine);
    if (cell != null) {
      q.remoteCellContacted = true;
      Attempt hedge = new Attempt(q.nextAttempt(), cell, null);
      hedge.enterState(Attempt.State.ASKING, commands.now());
      if (driver.contactNextNode(q, hedge)) {
        q.hedge = hedge;
      }
    }
  }

  /** Continues with another local cell, or with another region if there is none. */
  void handleCellRefusal(EntryRequest q, String cell, ErrorCode code, Duration retryAfter) {
    q.refusedCells.add(cell);
    boolean anotherLocalCell =
        q.refusedCells.size() < MAX_LOCAL_CELLS
            && cellChooser.chooseLocal(topology, q.request.model(), q.refusedCells, q::mayUse)
                != null;
    if (anotherLocalCell) {
      startLocally(q);
    } else {
      startRemotely(q, code, retryAfter);
    }
  }

  private void requestPermission(EntryRequest q, Fingerprint suspect, String group) {
    q.awaitsPeers = true;
    long deadline =
        q.tokensSent == 0 ? q.request.firstTokenDeadlineNanos() : q.request.finalDeadlineNanos();
    permissionClient.request(q.request.id(), suspect, group, deadline, v -> handleVerdict(q, v));
  }

  private void handleVerdict(EntryRequest q, Verdict verdict) {
    q.awaitsPeers = false;
    switch (verdict) {
      case RUN -> startPermitted(q);
      case QUARANTINED -> refuseQuarantined(q);
      case WAIT ->
          callbacks.refuse(
              q,
              ErrorCode.OVERLOADED,
              "the same request is being examined",
              RequestCoordinator.RETRY_AFTER);
    }
  }

  private void startPermitted(EntryRequest q) {
    q.suspectRunPermitted = true;
    q.ranAsSuspect |= q.suspectPart == null;
    commands.explain(q.request.id(), "suspect_permitted", "one attempt after a crash");
    startLocally(q);
  }

  /** Refuses a request whose content is quarantined. */
  void refuseQuarantined(EntryRequest q) {
    String detail = "its content was on two engines that crashed";
    callbacks.refuse(q, ErrorCode.REQUEST_QUARANTINED, detail, Duration.ZERO);
  }
}
