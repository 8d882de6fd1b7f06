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
  private static final long PERMISSION_WAIT_NANOS = 200_000_000;
  private static final int MAX_PERMISSION_ASKS = 3;
  private static final int MAX_LOCAL_CELLS = 2;
  // Time to read what arrived during a pause, above all leaving notices, before new work starts.
  private static final long SETTLE_NANOS = 200_000_000;

  /** What the starter needs from the keeper of the requests. */
  interface Ends {
    /** Gives the final answer. */
    void refuse(EntryRequest q, ErrorCode code, String detail, Duration retryAfter);

    /** Sets the timer of a request with an attempt. */
    void arm(EntryRequest q);
  }

  private final Effects fx;
  private final NodeSettings settings;
  private final CrashEvidence evidence;
  private final CrashEvidenceCoordinator evidenceSide;
  private final CellChooser chooser;
  private final Crossing crossing;
  private final AttemptDriver driver;
  private final RegionId region;
  private final Ends ends;
  private Topology topology = new Topology(null, List.of());

  /** Time before which no attempt starts, after a pause. */
  private long settledNanos = Long.MIN_VALUE;

  AttemptStarter(
      CellAdmission.Environment env,
      CrashEvidenceCoordinator evidenceSide,
      CellChooser chooser,
      Crossing crossing,
      AttemptDriver driver,
      RegionId region,
      Ends ends) {
    this.fx = env.commands();
    this.settings = env.settings();
    this.evidence = env.evidence();
    this.evidenceSide = evidenceSide;
    this.chooser = chooser;
    this.crossing = crossing;
    this.driver = driver;
    this.region = region;
    this.ends = ends;
  }

  void topologyChanged(Topology next) {
    topology = next;
  }

  /** Holds new attempts back until the messages that arrived in a pause have been read. */
  void settle() {
    settledNanos = fx.now() + SETTLE_NANOS;
  }

  /** Starts an attempt with a prefill, after the permission that a suspect needs. */
  void begin(EntryRequest q) {
    long now = fx.now();
    if (now < settledNanos) {
      fx.explain(q.request.id(), "held_back", "this node reads what it missed in a pause");
      fx.timer(EntrySide.TIMER, q.request.id().value(), settledNanos);
      return;
    }
    if (now >= q.request.finalDeadlineNanos()) {
      ends.refuse(q, ErrorCode.DEADLINE_EXCEEDED, "the final deadline passed", Duration.ZERO);
      return;
    }
    Standing standing = evidence.standing(q.request.fingerprint(), now);
    if (standing == Standing.QUARANTINED) {
      quarantined(q);
    } else if (standing == Standing.SUSPECT && !q.permitted) {
      askPermission(q);
    } else {
      attempt(q);
    }
  }

  private void attempt(EntryRequest q) {
    Cell cell = chooser.local(topology, q.request.model(), q.refusedCells);
    if (cell == null || q.refusedCells.size() >= MAX_LOCAL_CELLS) {
      cross(q, ErrorCode.UPSTREAM_UNAVAILABLE, EntrySide.LATER);
      return;
    }
    boolean crosses = !cell.hasPrefillEngine() && !q.askedRemote;
    Cell remote = crosses ? crossing.open(q, topology, Cell::hasPrefillEngine) : null;
    q.askedRemote |= remote != null;
    launch(q, remote == null ? cell : remote, null);
  }

  void launch(EntryRequest q, Cell cell, @Nullable KvHandle inherited) {
    Attempt a = new Attempt(q.nextAttempt(), cell, inherited);
    q.current = a;
    a.enter(Attempt.State.ASKING, fx.now());
    if (driver.askNext(q, a)) {
      ends.arm(q);
    } else {
      q.current = null;
      cellRefused(q, cell.name(), ErrorCode.UPSTREAM_UNAVAILABLE, EntrySide.LATER);
    }
  }

  /** Asks the other region when the local cells refused, or gives up. */
  private void cross(EntryRequest q, ErrorCode code, Duration retryAfter) {
    Cell cell =
        q.attempts() < EntrySide.MAX_ATTEMPTS ? crossing.open(q, topology, c -> true) : null;
    if (cell != null) {
      launch(q, cell, null);
    } else {
      ends.refuse(q, code, "no cell can meet the first-token deadline", retryAfter);
    }
  }

  /** Asks the other region as well while the local queue is long; the first grant is used. */
  void askRemoteToo(EntryRequest q, Attempt a, long waitNanos) {
    long budget = q.request.firstTokenDeadlineNanos() - q.arrivedNanos;
    boolean isLong = waitNanos > settings.policyParameters().crossRegionWaitShare() * budget;
    boolean local = a == q.current && a.cell.region().equals(region);
    if (!isLong || !local || q.askedRemote || q.hedge != null || q.tokensSent > 0) {
      return;
    }
    Cell cell = crossing.open(q, topology, Cell::hasPrefillEngine);
    if (cell != null) {
      q.askedRemote = true;
      Attempt remote = new Attempt(q.nextAttempt(), cell, null);
      remote.enter(Attempt.State.ASKING, fx.now());
      if (driver.askNext(q, remote)) {
        q.hedge = remote;
      }
    }
  }

  void cellRefused(EntryRequest q, String cell, ErrorCode code, Duration retryAfter) {
    q.refusedCells.add(cell);
    boolean more =
        q.refusedCells.size() < MAX_LOCAL_CELLS
            && chooser.local(topology, q.request.model(), q.refusedCells) != null;
    if (more) {
      attempt(q);
    } else {
      cross(q, code, retryAfter);
    }
  }

  void askPermission(EntryRequest q) {
    q.waitsForPermission = true;
    List<HostId> owners = evidenceSide.ownersOf(q.request.fingerprint());
    if (owners.isEmpty() || q.permissionAsks >= MAX_PERMISSION_ASKS) {
      // No owner answers; the admitting node still keeps suspects apart.
      permitted(q);
      return;
    }
    HostId owner = owners.get(q.permissionAsks % owners.size());
    q.permissionAsks++;
    fx.send(owner, new RunRequest(q.request.fingerprint(), q.request.id().value()));
    fx.timer(EntrySide.TIMER, q.request.id().value(), fx.now() + PERMISSION_TIMEOUT_NANOS);
  }

  /** Handles the answer of the owner of a suspect fingerprint. */
  void permission(EntryRequest q, Verdict verdict) {
    if (q.waitsForPermission) {
      switch (verdict) {
        case RUN -> permitted(q);
        case QUARANTINED -> quarantined(q);
        case WAIT -> {
          q.permissionAsks = 0;
          if (fx.now() >= q.request.firstTokenDeadlineNanos()) {
            ends.refuse(
                q, ErrorCode.OVERLOADED, "the same request is being examined", EntrySide.LATER);
          } else {
            fx.timer(EntrySide.TIMER, q.request.id().value(), fx.now() + PERMISSION_WAIT_NANOS);
          }
        }
      }
    }
  }

  private void permitted(EntryRequest q) {
    q.waitsForPermission = false;
    q.permitted = true;
    q.suspectRun = true;
    fx.explain(q.request.id(), "suspect_permitted", "one attempt after a crash");
    attempt(q);
  }

  void quarantined(EntryRequest q) {
    String detail = "its content was on two engines that crashed";
    ends.refuse(q, ErrorCode.REQUEST_QUARANTINED, detail, Duration.ZERO);
  }
}
