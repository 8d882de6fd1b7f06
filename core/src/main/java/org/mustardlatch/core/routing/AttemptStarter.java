package org.mustardlatch.core.routing;

import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.peer.EvidenceMessage.RunRequest;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;
import org.mustardlatch.core.quarantine.CrashEvidence;
import org.mustardlatch.core.quarantine.CrashEvidence.Standing;

/** Finds a cell for a request, after the permission that a suspect needs. */
final class AttemptStarter {
  private static final long PERMISSION_TIMEOUT_NANOS = 100_000_000;
  private static final long PERMISSION_RETRY_NANOS = 200_000_000;
  private static final int MAX_PERMISSION_REQUESTS = 3;
  private static final int MAX_LOCAL_CELLS = 2;
  // Time to read what arrived during a pause, above all leaving notices, before new work starts.
  private static final long PAUSE_RECOVERY_NANOS = 200_000_000;

  /** What the starter needs from the keeper of the requests. */
  interface RequestCallbacks {
    /** Gives the final answer. */
    void refuse(EntryRequest q, ErrorCode code, String detail, Duration retryAfter);

    /** Sets the timer of a request with an attempt. */
    void updateTimer(EntryRequest q);
  }

  private final CommandCollector commands;
  private final NodeSettings settings;
  private final CrashEvidence evidence;
  private final EvidenceSide evidenceCoordinator;
  private final CellChooser cellChooser;
  private final CrossRegionPolicy crossRegionPolicy;
  private final AttemptDriver driver;
  private final RegionId region;
  private final RequestCallbacks callbacks;
  private Topology topology = new Topology(null, List.of());

  /** Time before which no attempt starts, after a pause. */
  private long earliestStartNanos = Long.MIN_VALUE;

  AttemptStarter(
      CellAdmission.Environment env,
      EvidenceSide evidenceSide,
      CellChooser chooser,
      CrossRegionPolicy crossing,
      AttemptDriver driver,
      RegionId region,
      RequestCallbacks ends) {
    this.commands = env.effects();
    this.settings = env.settings();
    this.evidence = env.evidence();
    this.evidenceCoordinator = evidenceSide;
    this.cellChooser = chooser;
    this.crossRegionPolicy = crossing;
    this.driver = driver;
    this.region = region;
    this.callbacks = ends;
  }

  void topologyChanged(Topology next) {
    topology = next;
  }

  /** Holds new attempts back until the messages that arrived in a pause have been read. */
  void delayNewAttempts() {
    earliestStartNanos = commands.now() + PAUSE_RECOVERY_NANOS;
  }

  /** Starts an attempt with a prefill, after the permission that a suspect needs. */
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
    Standing standing = evidence.standing(q.request.fingerprint(), now);
    if (standing == Standing.QUARANTINED) {
      refuseQuarantined(q);
    } else if (standing == Standing.SUSPECT && !q.suspectRunPermitted) {
      requestPermission(q);
    } else {
      startLocally(q);
    }
  }

  private void startLocally(EntryRequest q) {
    Cell cell = cellChooser.chooseLocal(topology, q.request.model(), q.refusedCells);
    if (cell == null || q.refusedCells.size() >= MAX_LOCAL_CELLS) {
      startRemotely(q, ErrorCode.UPSTREAM_UNAVAILABLE, RequestCoordinator.DEFAULT_RETRY_AFTER);
      return;
    }
    boolean crosses = !cell.hasPrefillEngine() && !q.remoteCellContacted;
    Cell remote = crosses ? crossRegionPolicy.chooseCell(q, topology, Cell::hasPrefillEngine) : null;
    q.remoteCellContacted |= remote != null;
    requestReservation(q, remote == null ? cell : remote, null);
  }

  void requestReservation(EntryRequest q, Cell cell, @Nullable KvHandle inherited) {
    Attempt a = new Attempt(q.nextAttempt(), cell, inherited);
    q.current = a;
    a.enterState(Attempt.State.ASKING, commands.now());
    if (driver.contactNextNode(q, a)) {
      callbacks.updateTimer(q);
    } else {
      q.current = null;
      handleCellRefusal(q, cell.name(), ErrorCode.UPSTREAM_UNAVAILABLE, RequestCoordinator.DEFAULT_RETRY_AFTER);
    }
  }

  /** Asks the other region when the local cells refused, or gives up. */
  private void startRemotely(EntryRequest q, ErrorCode code, Duration retryAfter) {
    Cell cell =
        q.attemptCount() < RequestCoordinator.MAX_ATTEMPTS ? crossRegionPolicy.chooseCell(q, topology, c -> true) : null;
    if (cell != null) {
      requestReservation(q, cell, null);
    } else {
      callbacks.refuse(q, code, "no cell can meet the first-token deadline", retryAfter);
    }
  }

  /** Asks the other region as well while the local queue is long; the first grant is used. */
  void requestRemoteHedge(EntryRequest q, Attempt a, long waitNanos) {
    long budget = q.request.firstTokenDeadlineNanos() - q.arrivedNanos;
    boolean isLong = waitNanos > settings.tuning().crossWaitShare() * budget;
    boolean local = a == q.current && a.cell.region().equals(region);
    if (!isLong || !local || q.remoteCellContacted || q.hedge != null || q.tokensSent > 0) {
      return;
    }
    Cell cell = crossRegionPolicy.chooseCell(q, topology, Cell::hasPrefillEngine);
    if (cell != null) {
      q.remoteCellContacted = true;
      Attempt remote = new Attempt(q.nextAttempt(), cell, null);
      remote.enterState(Attempt.State.ASKING, commands.now());
      if (driver.contactNextNode(q, remote)) {
        q.hedge = remote;
      }
    }
  }

  void handleCellRefusal(EntryRequest q, String cell, ErrorCode code, Duration retryAfter) {
    q.refusedCells.add(cell);
    boolean more =
        q.refusedCells.size() < MAX_LOCAL_CELLS
            && cellChooser.chooseLocal(topology, q.request.model(), q.refusedCells) != null;
    if (more) {
      startLocally(q);
    } else {
      startRemotely(q, code, retryAfter);
    }
  }

  void requestPermission(EntryRequest q) {
    q.awaitsPermission = true;
    List<HostId> owners = evidenceCoordinator.owners(q.request.fingerprint());
    if (owners.isEmpty() || q.permissionRequests >= MAX_PERMISSION_REQUESTS) {
      // No owner answers; the admitting node still keeps suspects apart.
      startPermitted(q);
      return;
    }
    HostId owner = owners.get(q.permissionRequests % owners.size());
    q.permissionRequests++;
    commands.send(owner, new RunRequest(q.request.fingerprint(), q.request.id().value()));
    commands.setTimer(RequestCoordinator.TIMER_KIND, q.request.id().value(), commands.now() + PERMISSION_TIMEOUT_NANOS);
  }

  /** Handles the answer of the owner of a suspect fingerprint. */
  void handleVerdict(EntryRequest q, Verdict verdict) {
    if (q.awaitsPermission) {
      switch (verdict) {
        case RUN -> startPermitted(q);
        case QUARANTINED -> refuseQuarantined(q);
        case WAIT -> {
          q.permissionRequests = 0;
          if (commands.now() >= q.request.firstTokenDeadlineNanos()) {
            callbacks.refuse(
                q, ErrorCode.OVERLOADED, "the same request is being examined", RequestCoordinator.DEFAULT_RETRY_AFTER);
          } else {
            commands.setTimer(RequestCoordinator.TIMER_KIND, q.request.id().value(), commands.now() + PERMISSION_RETRY_NANOS);
          }
        }
      }
    }
  }

  private void startPermitted(EntryRequest q) {
    q.awaitsPermission = false;
    q.suspectRunPermitted = true;
    q.ranAsSuspect = true;
    commands.explain(q.request.id(), "suspect_permitted", "one attempt after a crash");
    startLocally(q);
  }

  void refuseQuarantined(EntryRequest q) {
    String detail = "its content was on two engines that crashed";
    callbacks.refuse(q, ErrorCode.REQUEST_QUARANTINED, detail, Duration.ZERO);
  }
}
