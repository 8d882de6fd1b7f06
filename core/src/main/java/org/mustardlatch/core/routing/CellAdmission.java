package org.mustardlatch.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.peer.AdmissionMessage.CellSummary;
import org.mustardlatch.core.peer.AdmissionMessage.Outcome;
import org.mustardlatch.core.peer.AdmissionMessage.ReservationRelease;
import org.mustardlatch.core.peer.AdmissionMessage.ReservationRenew;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveGranted;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveQueued;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveRefused;
import org.mustardlatch.core.peer.AdmissionMessage.Stage;
import org.mustardlatch.core.quarantine.CrashEvidence;
import org.mustardlatch.core.quarantine.CrashEvidence.Standing;

/** Admission to one cell: reservations, the queue, and what was learned about its engines. */
final class CellAdmission {
  /** Time for renewals and request lists to arrive after this node took the cell over. */
  static final long HANDOVER_NANOS = 2_500_000_000L;

  /** How long a reservation lasts beyond what is predicted, nanoseconds. */
  static final long GRANT_MARGIN_NANOS = 2_000_000_000L;

  /** How long a reservation in decode lasts without a renewal, nanoseconds. */
  static final long DECODE_RESERVATION_NANOS = 20_000_000_000L;

  // Every answer carries a summary; in a burst they need not be computed anew.
  private static final long MAX_SUMMARY_AGE_NANOS = 2_000_000;

  private static final int QUEUE_LOOKAHEAD = 4;
  private static final long CRASH_BLOCK_NANOS = 3_000_000_000L;
  // An engine that keeps failing is tried again after 1 s, 2 s, 4 s and so on up to 16 s.
  private static final int MAX_BACKOFF_DOUBLINGS = 4;
  private static final long FAILURE_BLOCK_NANOS = 1_000_000_000L;
  private static final long REFUSAL_BLOCK_NANOS = 150_000_000L;
  // The last ten requests or so make the usual size.
  private static final double NEWEST_SIZE_WEIGHT = 0.1;
  // Only until departures were observed: a slot is held for about 10 s.
  private static final double INITIAL_DEPARTURES_PER_SLOT = 0.1;

  /** What a cell needs from its node. */
  record Environment(
      Effects commands, RandomGenerator random, CrashEvidence evidence, NodeSettings settings) {}

  /** Receives crashes that a cell recognised. */
  interface CrashListener {
    void engineCrashed(UpstreamId upstream, List<Fingerprint> running);
  }

  private Cell cell;
  private final Effects commands;
  private final CrashEvidence evidence;
  private final NodeSettings settings;
  private final RetrySpread retryAfterJitter;
  private final CrashListener crashListener;
  private final Map<UpstreamId, EngineState> engines = new LinkedHashMap<>();
  private final Map<AttemptId, Reservation> reservations = new HashMap<>();
  private final FairQueue queue = new FairQueue();
  private final KvTransferLimiter transferLimiter = new KvTransferLimiter();
  private final DepartureRate departureRate = new DepartureRate();
  private Placer placer;
  private final LeavingUpstreams leavingUpstreams;
  private final long handoverUntilNanos;
  private @Nullable CellSummary summary;
  private long summaryComputedNanos;
  private long lastActivityNanos;
  private double averageRequestPieces;

  CellAdmission(Cell cell, Environment env, CrashListener crashes, LeavingUpstreams leaving) {
    this.cell = cell;
    this.commands = env.commands();
    this.evidence = env.evidence();
    this.settings = env.settings();
    this.retryAfterJitter = new RetrySpread(env.random());
    this.crashListener = crashes;
    this.leavingUpstreams = leaving;
    this.placer = placer(cell);
    this.handoverUntilNanos = commands.now() + HANDOVER_NANOS;
    this.lastActivityNanos = commands.now();
  }

  Cell cell() {
    return cell;
  }

  boolean isIdle() {
    return reservations.isEmpty() && queue.size() == 0;
  }

  long lastActivityNanos() {
    return lastActivityNanos;
  }

  int reservationCount() {
    return reservations.size();
  }

  int queuedCount() {
    return queue.size();
  }

  /** Returns the capacity of the cell, at most {@link #MAX_SUMMARY_AGE_NANOS} old. */
  CellSummary summary() {
    long now = commands.now();
    CellSummary known = summary;
    if (known == null || now - summaryComputedNanos >= MAX_SUMMARY_AGE_NANOS) {
      int free = Math.max(0, freeDecodeCapacity() - queue.size());
      known = new CellSummary(cell.name(), free, predictedWaitNanos(null));
      summary = known;
      summaryComputedNanos = now;
    }
    return known;
  }

  /**
   * Answers an request with a grant, a place in the queue or a refusal; a repeated one likewise.
   */
  void reserve(ReservationRequest request) {
    lastActivityNanos = commands.now();
    Reservation held = reservations.get(request.attempt());
    if (held != null) {
      sendGrant(held);
      return;
    }
    if (queue.contains(request.attempt())) {
      sendQueued(request);
      return;
    }
    updateAverageSize(request);
    if (evidence.standing(request.fingerprint(), commands.now()) == Standing.QUARANTINED) {
      refuse(request, ErrorCode.REQUEST_QUARANTINED, Duration.ZERO);
      return;
    }
    if (queue.size() > 0 && request.kvSource() == null) {
      enqueue(request);
      serveQueue();
      return;
    }
    switch (tryGrant(request)) {
      case GRANTED -> {}
      case DEADLINE_UNREACHABLE -> refuseOverloaded(request);
      case NO_CAPACITY -> {
        if (request.kvSource() != null) {
          // The KV cache may expire while it waits, and the entry node has a better way out.
          refuseOverloaded(request);
        } else {
          enqueue(request);
        }
      }
    }
  }

  void withdraw(AttemptId attempt) {
    queue.remove(attempt);
    Reservation r = reservations.remove(attempt);
    if (r != null) {
      freeReservation(r, false);
      serveQueue();
    }
  }

  /** Keeps a reservation, and learns from how long its stage took. */
  void renew(HostId from, ReservationRenew renew) {
    Reservation r = reservations.get(renew.attempt());
    if (r == null) {
      adoptReservation(from, renew);
      return;
    }
    if (r.kvSource == null) {
      moveAdoptedReservation(r, renew);
    }
    if (renew.stage() == Stage.TRANSFER && r.stage == Stage.PREFILL) {
      if (r.prefillEngine != null) {
        r.prefillEngine.consecutiveFailures = 0;
      }
      endPrefill(r, true);
      enterStage(r, Stage.TRANSFER);
    } else if (renew.stage() == Stage.DECODE && r.stage != Stage.DECODE) {
      endTransfer(r, true);
      enterStage(r, Stage.DECODE);
      r.tokensUpdatedNanos = commands.now();
      r.tokensSoFar = renew.tokensSoFar();
    } else if (renew.stage() == Stage.DECODE) {
      recordTokenProgress(r, renew.tokensSoFar());
    }
    r.expiresNanos = commands.now() + DECODE_RESERVATION_NANOS;
    serveQueue();
  }

  /** Frees what an attempt holds and takes note of how it ended. */
  void release(ReservationRelease release) {
    queue.remove(release.attempt());
    Reservation r = reservations.get(release.attempt());
    EngineState e = engines.get(release.upstream());
    if (e != null) {
      recordOutcome(e, r, release.outcome());
    }
    if (r != null) {
      reservations.remove(release.attempt());
      freeReservation(r, release.outcome() == Outcome.FINISHED);
    }
    lastActivityNanos = commands.now();
    serveQueue();
  }

  void loadReported(UpstreamId upstream, LoadReport report) {
    EngineState e = engines.get(upstream);
    if (e != null) {
      e.reportedRunningRequests = report.runningRequests();
    }
  }

  /** Counts the attempts of other nodes that this one has no reservation for. */
  void attemptsListed(UpstreamId upstream, List<ReportedAttempt> held) {
    EngineState e = engines.get(upstream);
    if (e == null) {
      return;
    }
    int unknown = 0;
    Set<String> known = new HashSet<>();
    for (Reservation r : reservations.values()) {
      if (r.prefillEngine == e || r.decodeEngine == e) {
        known.add(r.attempt.toString());
      }
    }
    for (ReportedAttempt h : held) {
      if (!known.contains(h.attempt())) {
        unknown++;
      }
    }
    e.unreservedAttempts = unknown;
    serveQueue();
  }

  /** Takes over a new list of engines; what is reserved on those that stay is kept. */
  void cellChanged(Cell next) {
    if (!next.equals(cell)) {
      cell = next;
      placer = placer(next);
    }
  }

  private Placer placer(Cell next) {
    Map<UpstreamId, EngineState> before = new HashMap<>(engines);
    engines.clear();
    for (Upstream u : next.engines()) {
      EngineState e = before.get(u.id());
      if (e == null) {
        e = new EngineState(u, next.model().memoryPieceTokens());
      } else {
        e.upstream = u;
      }
      engines.put(u.id(), e);
    }
    return new Placer(next, engines.values(), leavingUpstreams);
  }

  /** Drops what nodes hold that are gone. */
  void removeReservationsOfDeadNodes(Predicate<HostId> alive) {
    for (Reservation r : new ArrayList<>(reservations.values())) {
      if (!alive.test(r.owner)) {
        reservations.remove(r.attempt);
        freeReservation(r, false);
      }
    }
    for (ReservationRequest a : queue.allRequests()) {
      if (!alive.test(a.requester())) {
        queue.remove(a.attempt());
      }
    }
    serveQueue();
  }

  /** Drops reservations that were not renewed and serves the queue. */
  void tick() {
    long now = commands.now();
    placer.decayIdleEstimates(now);
    transferLimiter.decayEstimate(now);
    for (Reservation r : new ArrayList<>(reservations.values())) {
      if (now >= r.expiresNanos) {
        reservations.remove(r.attempt);
        freeReservation(r, false);
      }
    }
    for (ReservationRequest request : queue.allRequests()) {
      if (now >= request.firstTokenDeadlineNanos()) {
        queue.remove(request.attempt());
        refuseOverloaded(request);
      }
    }
    serveQueue();
  }

  private enum GrantResult {
    GRANTED,
    NO_CAPACITY,
    DEADLINE_UNREACHABLE
  }

  private void serveQueue() {
    boolean progress = true;
    while (progress && queue.size() > 0 && placer.mayHaveCapacity(commands.now())) {
      progress = false;
      for (ReservationRequest request : queue.nextRequests(QUEUE_LOOKAHEAD)) {
        GrantResult result = tryGrant(request);
        if (result == GrantResult.GRANTED) {
          queue.removeServed(request.attempt());
          progress = true;
          break;
        }
        if (result == GrantResult.DEADLINE_UNREACHABLE) {
          queue.remove(request.attempt());
          refuseOverloaded(request);
          progress = true;
          break;
        }
      }
    }
    if (queue.size() > 0) {
      long wait = Math.clamp(placer.nanosUntilNextPrefill(commands.now()), 2_000_000, 20_000_000);
      commands.timer("cell", cell.name(), commands.now() + wait);
    }
  }

  private GrantResult tryGrant(ReservationRequest request) {
    long now = commands.now();
    if (request.kvSource() == null && !transferLimiter.hasFreeCapacity()) {
      return GrantResult.NO_CAPACITY;
    }
    boolean suspect = evidence.standing(request.fingerprint(), now) != Standing.CLEAN;
    Placer.Placement p =
        placer.place(request, suspect, transferLimiter, now < handoverUntilNanos, now);
    if (p == null) {
      return GrantResult.NO_CAPACITY;
    }
    if (now + p.firstTokenNanos() > latestFirstTokenNanos(request)
        && !mayExceedDeadline(request, p)) {
      return GrantResult.DEADLINE_UNREACHABLE;
    }
    grant(request, p, suspect);
    return GrantResult.GRANTED;
  }

  private long latestFirstTokenNanos(ReservationRequest request) {
    double margin =
        request.kvSource() == null ? settings.policyParameters().deadlineMarginShare() : 0;
    return request.firstTokenDeadlineNanos() - (long) (margin * request.budgetNanos());
  }

  /** Returns whether a prompt too long for its deadline on any engine may use spare capacity. */
  private boolean mayExceedDeadline(ReservationRequest request, Placer.Placement p) {
    return request.kvSource() == null
        && p.nominalPrefillNanos()
            > request.budgetNanos() * (1 - settings.policyParameters().deadlineMarginShare())
        && queue.size() <= 1
        && 2 * freeDecodeCapacity() > totalDecodeCapacity();
  }

  private void grant(ReservationRequest request, Placer.Placement p, boolean suspect) {
    long now = commands.now();
    long bytes = cell.model().kvBytesPerToken() * request.promptTokens();
    Reservation r =
        new Reservation(
            request.attempt(),
            request.requester(),
            request.fingerprint(),
            request.prefillMemoryPieces(cell.model().memoryPieceTokens()),
            request.decodeMemoryPieces(cell.model().memoryPieceTokens()),
            bytes);
    r.suspect = suspect;
    r.nominalPrefillNanos = p.nominalPrefillNanos();
    r.expiresNanos = now + p.firstTokenNanos() + GRANT_MARGIN_NANOS;
    r.stageStartNanos = now;
    EngineState prefill = p.prefillEngine();
    if (prefill == null) {
      r.stage = Stage.TRANSFER;
    } else {
      // On a mixed engine that does both, prompt and answer share one slot and one allocation.
      reserveSlot(prefill, r, prefill == p.decodeEngine() ? r.decodePieces : r.prefillPieces);
      r.prefillEngine = prefill;
      r.kvSource = prefill.upstream.id();
      prefill.prefixIndex.add(request.prefixBlocks());
      prefill.prefillGranted(r, now);
      if (placer.isProbe(prefill, now)) {
        prefill.probeLimiter.probeSent(now);
      }
    }
    if (request.kvSource() != null) {
      r.kvSource = request.kvSource();
    }
    if (p.decodeEngine() != prefill) {
      reserveSlot(p.decodeEngine(), r, r.decodePieces);
    }
    r.decodeEngine = p.decodeEngine();
    p.decodeEngine().locallyGrantedDecodeSlots++;
    if (placer.isProbe(p.decodeEngine(), now)) {
      p.decodeEngine().probeLimiter.probeSent(now);
    }
    transferLimiter.acquire();
    r.transferReserved = true;
    reservations.put(r.attempt, r);
    sendGrant(r);
  }

  private static void reserveSlot(EngineState e, Reservation r, int pieces) {
    e.reservedSlots++;
    e.reservedPieces += pieces;
    e.suspectCount += r.suspect ? 1 : 0;
  }

  private static void releaseSlot(EngineState e, Reservation r, int pieces) {
    e.reservedSlots--;
    e.reservedPieces -= pieces;
    e.suspectCount -= r.suspect ? 1 : 0;
  }

  private void enterStage(Reservation r, Stage stage) {
    r.stage = stage;
    r.stageStartNanos = commands.now();
  }

  private void endPrefill(Reservation r, boolean finished) {
    if (r.prefillEngine != null) {
      r.prefillEngine.prefillEnded(r, commands.now(), finished);
    }
  }

  private void endTransfer(Reservation r, boolean finished) {
    long now = commands.now();
    if (r.stage == Stage.PREFILL) {
      endPrefill(r, false);
    } else if (finished && r.decodeEngine != null && r.prefillEngine != r.decodeEngine) {
      long duration = now - r.stageStartNanos;
      long predicted = transferLimiter.predictedTransferNanos(r.kvBytes);
      if (predicted > 0) {
        r.decodeEngine.transferSlowdown.observe(duration, predicted);
      }
      transferLimiter.recordTransfer(r.kvBytes, duration, now);
    }
    if (r.transferReserved) {
      transferLimiter.release();
      r.transferReserved = false;
    }
    if (r.prefillEngine != null && r.prefillEngine != r.decodeEngine) {
      releaseSlot(r.prefillEngine, r, r.prefillPieces);
    }
    r.prefillEngine = null;
  }

  private void freeReservation(Reservation r, boolean finished) {
    if (r.stage != Stage.DECODE) {
      endTransfer(r, false);
    }
    if (r.decodeEngine != null) {
      releaseSlot(r.decodeEngine, r, r.decodePieces);
      r.decodeEngine.locallyGrantedDecodeSlots -= r.kvSource == null ? 0 : 1;
      r.decodeEngine = null;
      if (finished) {
        departureRate.recordDeparture(commands.now());
      }
    }
  }

  private void recordTokenProgress(Reservation r, int tokens) {
    long now = commands.now();
    int count = tokens - r.tokensSoFar;
    if (r.decodeEngine != null && count > 0) {
      long predicted = cell.model().tokenGapTarget().toNanos() * count;
      r.decodeEngine.tokenSlowdown.observe(now - r.tokensUpdatedNanos, predicted);
    }
    r.tokensSoFar = tokens;
    r.tokensUpdatedNanos = now;
  }

  /** Takes over a reservation that another admitting node granted. */
  private void adoptReservation(HostId from, ReservationRenew renew) {
    EngineState e = engines.get(renew.upstream());
    if (e == null) {
      return;
    }
    Reservation r = new Reservation(renew.attempt(), from, null, 0, 1, 0);
    r.stage = Stage.DECODE;
    r.decodeEngine = e;
    r.stageStartNanos = commands.now();
    r.tokensSoFar = renew.tokensSoFar();
    r.tokensUpdatedNanos = commands.now();
    r.expiresNanos = commands.now() + DECODE_RESERVATION_NANOS;
    reserveSlot(e, r, r.decodePieces);
    reservations.put(r.attempt, r);
  }

  /** Follows an adopted reservation from its prefill engine to its decode engine. */
  private void moveAdoptedReservation(Reservation r, ReservationRenew renew) {
    EngineState next = engines.get(renew.upstream());
    if (next != null && r.decodeEngine != null && next != r.decodeEngine) {
      releaseSlot(r.decodeEngine, r, r.decodePieces);
      reserveSlot(next, r, r.decodePieces);
      r.decodeEngine = next;
    }
  }

  private void recordOutcome(EngineState e, @Nullable Reservation r, Outcome outcome) {
    long now = commands.now();
    switch (outcome) {
      case FINISHED, CANCELLED -> {}
      case REFUSED ->
          e.blockedUntilNanos = Math.max(e.blockedUntilNanos, now + REFUSAL_BLOCK_NANOS);
      case FAILED -> {
        e.blockFor(
            now, FAILURE_BLOCK_NANOS << Math.min(MAX_BACKOFF_DOUBLINGS, e.consecutiveFailures));
        e.consecutiveFailures++;
        if (r != null && r.stage == Stage.TRANSFER) {
          transferLimiter.reduceLimit(now);
        }
      }
      case CRASHED -> crashed(e, r);
    }
  }

  private void crashed(EngineState e, @Nullable Reservation reporting) {
    long now = commands.now();
    e.blockFor(now, CRASH_BLOCK_NANOS);
    e.prefixIndex.clear();
    e.unreservedAttempts = 0;
    if (reporting == null || reporting.countedCrashEngine == e) {
      // Every entry node reports the same crash for its own attempts.
      return;
    }
    List<Fingerprint> running = new ArrayList<>();
    for (Reservation r : reservations.values()) {
      boolean inDecode = r.decodeEngine == e && r.stage != Stage.PREFILL;
      if ((r.prefillEngine == e || inDecode) && r.countedCrashEngine != e) {
        r.countedCrashEngine = e;
        if (r.fingerprint != null) {
          running.add(r.fingerprint);
        }
      }
    }
    crashListener.engineCrashed(e.upstream.id(), running);
  }

  private void enqueue(ReservationRequest request) {
    long wait = predictedWaitNanos(request);
    if (commands.now() + wait + shortestServiceNanos(request) > latestFirstTokenNanos(request)) {
      refuseOverloaded(request);
      return;
    }
    queue.add(request, settings.workspaceWeight(request.workspace()));
    sendQueued(request);
    serveQueue();
  }

  private void updateAverageSize(ReservationRequest request) {
    int pieces = request.decodeMemoryPieces(cell.model().memoryPieceTokens());
    averageRequestPieces =
        averageRequestPieces == 0
            ? pieces
            : averageRequestPieces + NEWEST_SIZE_WEIGHT * (pieces - averageRequestPieces);
  }

  /** Returns the requests of the usual size that there is room for: slots and KV memory count. */
  private int freeDecodeCapacity() {
    return placer.freeDecodeCapacity((int) averageRequestPieces, commands.now());
  }

  private int totalDecodeCapacity() {
    return placer.totalDecodeCapacity((int) averageRequestPieces, commands.now());
  }

  private long shortestServiceNanos(ReservationRequest request) {
    double rate = 0;
    for (EngineState e : placer.prefillEngines()) {
      rate = Math.max(rate, e.upstream.prefillTokensPerSecond() / e.prefillSlowdown.ratio());
    }
    long bytes = cell.model().kvBytesPerToken() * request.promptTokens();
    return (long) (request.promptTokens() * 1e9 / Math.max(1, rate))
        + transferLimiter.predictedTransferNanos(bytes);
  }

  /** Returns the predicted wait of a request before its prefill, nanoseconds. */
  private long predictedWaitNanos(@Nullable ReservationRequest request) {
    long now = commands.now();
    WorkspaceId workspace = request == null ? null : request.workspace();
    long tokens =
        workspace == null ? queue.queuedPromptTokens() : queue.promptTokensAhead(workspace);
    double rate = placer.prefillTokensPerNano(now);
    long next = placer.nanosUntilNextPrefill(now);
    if (rate <= 0 || next == Long.MAX_VALUE) {
      return Long.MAX_VALUE / 4;
    }
    long prefillWait = next + (long) (tokens / rate);
    int missing = queue.size() + 1 - freeDecodeCapacity();
    if (missing <= 0) {
      return prefillWait;
    }
    double initial = INITIAL_DEPARTURES_PER_SLOT * Math.max(1, totalDecodeCapacity());
    return Math.max(prefillWait, (long) (missing * 1e9 / departureRate.perSecond(now, initial)));
  }

  private void refuseOverloaded(ReservationRequest request) {
    long budget = Math.max(1, request.budgetNanos());
    Duration after = retryAfterJitter.draw(summary().predictedWaitNanos(), budget);
    boolean none = totalDecodeCapacity() == 0;
    refuse(request, none ? ErrorCode.UPSTREAM_UNAVAILABLE : ErrorCode.OVERLOADED, after);
  }

  private void refuse(ReservationRequest request, ErrorCode code, Duration after) {
    commands.send(
        request.requester(),
        new ReserveRefused(request.attempt(), code, after.toNanos(), summary()));
  }

  private void sendQueued(ReservationRequest request) {
    commands.send(
        request.requester(),
        new ReserveQueued(request.attempt(), summary().predictedWaitNanos(), summary()));
  }

  private void sendGrant(Reservation r) {
    if (r.decodeEngine == null || r.kvSource == null) {
      return;
    }
    commands.send(
        r.owner,
        new ReserveGranted(
            r.attempt,
            r.kvSource,
            r.decodeEngine.upstream.id(),
            Math.max(1, r.expiresNanos - commands.now()),
            summary()));
  }
}
