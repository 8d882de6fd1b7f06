package org.mustardlatch.core.routing;

import java.time.Duration;
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
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.AdmissionMessage.CellSummary;
import org.mustardlatch.core.peer.AdmissionMessage.Outcome;
import org.mustardlatch.core.peer.AdmissionMessage.ReservationRelease;
import org.mustardlatch.core.peer.AdmissionMessage.ReservationRenew;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveGranted;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveQueued;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveRefused;
import org.mustardlatch.core.peer.AdmissionMessage.Stage;
import org.mustardlatch.core.quarantine.CrashEvidence;
import org.mustardlatch.core.quarantine.CrashEvidence.SuspicionLevel;

/**
 * Admission to one cell on its admitting node: the reservations, the queue of waiting requests and
 * the observed state of the engines.
 */
final class CellAdmission {
  /** Time for renewals and attempt lists of engines to arrive after a takeover of the cell. */
  static final long HANDOVER_NANOS = 2_500_000_000L;

  /** Time that a reservation lasts beyond the predicted first token, nanoseconds. */
  static final long GRANT_MARGIN_NANOS = 2_000_000_000L;

  // Every response carries a summary; in a burst it is not recomputed for each of them.
  private static final long MAX_SUMMARY_AGE_NANOS = 2_000_000;

  // Requests at the head of the queue that are tried when the first one has no fitting engine.
  private static final int QUEUE_LOOKAHEAD = 4;

  /** Collaborators that the cells of a node and its {@link RequestCoordinator} share. */
  record Environment(
      CommandCollector commands,
      RandomGenerator random,
      CrashEvidence evidence,
      NodeSettings settings,
      UpstreamLimits upstreamLimits) {}

  private Cell cell;
  private final CommandCollector commands;
  private final CrashEvidence evidence;
  private final NodeSettings settings;
  private final RetryAfterJitter retryAfterJitter;
  private final ReservationTable reservations;
  private final EngineOutcomes outcomes;
  private final Map<UpstreamId, EngineState> engines = new LinkedHashMap<>();
  private final FairQueue queue = new FairQueue();
  private final KvTransferLimiter transferLimiter = new KvTransferLimiter();
  private final DepartureRate departureRate = new DepartureRate();
  private Placer placer;
  private final CapacityForecast forecast;
  private final UnavailableUpstreams unavailableUpstreams;
  private final UpstreamLimits upstreamLimits;
  private final long handoverUntilNanos;
  private @Nullable CellSummary summary;
  private long summaryComputedNanos;
  private long lastActivityNanos;

  CellAdmission(
      Cell cell,
      Environment env,
      CrashListener crashListener,
      UnavailableUpstreams unavailableUpstreams) {
    this.cell = cell;
    this.commands = env.commands();
    this.evidence = env.evidence();
    this.settings = env.settings();
    this.retryAfterJitter = new RetryAfterJitter(env.random());
    this.reservations =
        new ReservationTable(
            commands,
            () -> this.cell.model().tokenGapTarget().toNanos(),
            transferLimiter,
            departureRate);
    this.outcomes = new EngineOutcomes(commands, reservations, transferLimiter, crashListener);
    this.unavailableUpstreams = unavailableUpstreams;
    this.upstreamLimits = env.upstreamLimits();
    this.placer = createPlacer(cell);
    this.forecast =
        new CapacityForecast(queue, transferLimiter, departureRate, cell.model(), placer);
    this.handoverUntilNanos = commands.now() + HANDOVER_NANOS;
    this.lastActivityNanos = commands.now();
  }

  Cell cell() {
    return cell;
  }

  boolean isIdle() {
    return reservations.size() == 0 && queue.size() == 0;
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

  /**
   * Returns the free capacity and predicted wait of the cell, at most {@link
   * #MAX_SUMMARY_AGE_NANOS} old.
   */
  CellSummary summary() {
    long now = commands.now();
    CellSummary current = summary;
    if (current == null || now - summaryComputedNanos >= MAX_SUMMARY_AGE_NANOS) {
      int free = Math.max(0, forecast.freeDecodeCapacity(now) - queue.size());
      current = new CellSummary(cell.name(), free, forecast.estimateWaitNanos(null, now));
      summary = current;
      summaryComputedNanos = now;
    }
    return current;
  }

  /**
   * Responds to a request with a grant, a place in the queue or a refusal. A repeated request gets
   * the response that matches its current state.
   */
  void reserve(ReservationRequest request) {
    lastActivityNanos = commands.now();
    Reservation existing = reservations.get(request.attempt());
    if (existing != null) {
      sendGrant(existing);
      return;
    }
    if (queue.contains(request.attempt())) {
      sendQueued(request);
      return;
    }
    forecast.requestArrived(request);
    if (evidence.suspicionLevel(request.fingerprint(), commands.now())
        == SuspicionLevel.QUARANTINED) {
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
          // The KV cache may expire while the request waits. After a refusal, the entry node can
          // start a new attempt at once.
          refuseOverloaded(request);
        } else {
          enqueue(request);
        }
      }
    }
  }

  /** Removes an attempt from the queue and frees its reservation. */
  void withdraw(AttemptId attempt) {
    queue.remove(attempt);
    if (reservations.remove(attempt, false) != null) {
      serveQueue();
    }
  }

  /** Extends or adopts a reservation and updates the engine estimates with its progress. */
  void renew(HostId from, ReservationRenew renew) {
    Reservation r = reservations.get(renew.attempt());
    EngineState e = engines.get(renew.upstream());
    if (r == null) {
      if (e != null) {
        reservations.adopt(from, renew, e);
      }
      return;
    }
    if (r.kvSource == null && e != null) {
      ReservationTable.moveAdopted(r, e);
    }
    reservations.renew(r, renew);
    serveQueue();
  }

  /** Frees the reservation of an attempt and records its outcome for the engine. */
  void release(ReservationRelease release) {
    queue.remove(release.attempt());
    Reservation r = reservations.get(release.attempt());
    EngineState e = engines.get(release.upstream());
    if (e != null) {
      outcomes.record(e, r, release.outcome());
    }
    reservations.remove(release.attempt(), release.outcome() == Outcome.FINISHED);
    lastActivityNanos = commands.now();
    serveQueue();
  }

  /** Records the load that an engine reports. */
  void loadReported(UpstreamId upstream, LoadReport report) {
    EngineState e = engines.get(upstream);
    if (e != null) {
      e.reportedRunningRequests = report.runningRequests();
    }
  }

  /** Counts the attempts in progress on an engine that this node has no reservation for. */
  void attemptsListed(UpstreamId upstream, List<ReportedAttempt> attempts) {
    EngineState e = engines.get(upstream);
    if (e == null) {
      return;
    }
    int unreserved = 0;
    Set<String> reserved = new HashSet<>();
    for (Reservation r : reservations.all()) {
      if (r.prefillEngine == e || r.decodeEngine == e) {
        reserved.add(r.attempt.toString());
      }
    }
    for (ReportedAttempt a : attempts) {
      if (!reserved.contains(a.attempt())) {
        unreserved++;
      }
    }
    e.unreservedAttempts = unreserved;
    serveQueue();
  }

  /** Applies a changed cell; reservations on removed engines stay until released or expired. */
  void cellChanged(Cell next) {
    if (!next.equals(cell)) {
      cell = next;
      placer = createPlacer(next);
      forecast.cellChanged(next.model(), placer);
    }
  }

  /** Replaces the engines, keeping the state of those that remain, and returns their placer. */
  private Placer createPlacer(Cell next) {
    Map<UpstreamId, EngineState> previous = new HashMap<>(engines);
    engines.clear();
    for (Upstream u : next.engines()) {
      EngineState e = previous.get(u.id());
      if (e == null) {
        e = new EngineState(u, next.model().memoryPieceTokens());
      } else {
        e.upstream = u;
      }
      engines.put(u.id(), e);
    }
    return new Placer(next, engines.values(), unavailableUpstreams, upstreamLimits);
  }

  /** Drops reservations and queued requests of nodes that are dead or removed. */
  void removeReservationsOfDeadNodes(Predicate<HostId> alive) {
    reservations.removeIf(r -> !alive.test(r.requester));
    for (ReservationRequest request : queue.allRequests()) {
      if (!alive.test(request.requester())) {
        queue.remove(request.attempt());
      }
    }
    serveQueue();
  }

  /**
   * Decays estimates without observations, drops expired reservations, refuses requests past their
   * deadline and serves the queue.
   */
  void tick() {
    long now = commands.now();
    placer.decayIdleEstimates(now);
    transferLimiter.decayEstimate(now);
    reservations.removeIf(r -> now >= r.expiresNanos);
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

  /** Grants queued requests in fair order while engines have free capacity. */
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
      commands.setTimer("cell", cell.name(), commands.now() + wait);
    }
  }

  /** Grants a request if a placement with free capacity meets its deadline. */
  private GrantResult tryGrant(ReservationRequest request) {
    long now = commands.now();
    if (request.kvSource() == null && !transferLimiter.hasFreeCapacity()) {
      return GrantResult.NO_CAPACITY;
    }
    boolean suspect = evidence.suspicionLevel(request.fingerprint(), now) != SuspicionLevel.CLEAN;
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

  /** Returns the first-token deadline less the safety margin for predictions. */
  private long latestFirstTokenNanos(ReservationRequest request) {
    double marginShare =
        request.kvSource() == null ? settings.policyParameters().deadlineMarginShare() : 0;
    return request.firstTokenDeadlineNanos() - (long) (marginShare * request.budgetNanos());
  }

  /**
   * Returns whether a request may be granted past its deadline: its prompt is too long for the
   * deadline even at the rate in the manifest, at most one request is queued, and more than half of
   * the decode capacity is free.
   */
  private boolean mayExceedDeadline(ReservationRequest request, Placer.Placement p) {
    return request.kvSource() == null
        && p.nominalPrefillNanos()
            > request.budgetNanos() * (1 - settings.policyParameters().deadlineMarginShare())
        && queue.size() <= 1
        && 2 * forecast.freeDecodeCapacity(commands.now())
            > forecast.totalDecodeCapacity(commands.now());
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
      // On an engine that runs both stages, prompt and output share one slot and one allocation.
      ReservationTable.reserveSlot(
          prefill, r, prefill == p.decodeEngine() ? r.decodePieces : r.prefillPieces);
      r.prefillEngine = prefill;
      r.kvSource = prefill.upstream.id();
      upstreamLimits.started(prefill.upstream.id());
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
      upstreamLimits.started(p.decodeEngine().upstream.id());
      ReservationTable.reserveSlot(p.decodeEngine(), r, r.decodePieces);
    }
    r.decodeEngine = p.decodeEngine();
    p.decodeEngine().locallyGrantedDecodeSlots++;
    if (placer.isProbe(p.decodeEngine(), now)) {
      p.decodeEngine().probeLimiter.probeSent(now);
    }
    transferLimiter.acquire();
    r.hasTransferPermit = true;
    reservations.add(r);
    sendGrant(r);
  }

  /** Queues a request, or refuses it if its first token is predicted after the deadline. */
  private void enqueue(ReservationRequest request) {
    long wait = forecast.estimateWaitNanos(request, commands.now());
    if (commands.now() + wait + forecast.shortestServiceNanos(request)
        > latestFirstTokenNanos(request)) {
      refuseOverloaded(request);
      return;
    }
    queue.add(request, settings.workspaceWeight(request.workspace()));
    sendQueued(request);
    serveQueue();
  }

  /** Refuses a request as overloaded, or as unavailable if no decode engine is usable. */
  private void refuseOverloaded(ReservationRequest request) {
    long budget = Math.max(1, request.budgetNanos());
    Duration retryAfter = retryAfterJitter.draw(summary().predictedWaitNanos(), budget);
    boolean noEngine = forecast.totalDecodeCapacity(commands.now()) == 0;
    refuse(request, noEngine ? ErrorCode.UPSTREAM_UNAVAILABLE : ErrorCode.OVERLOADED, retryAfter);
  }

  private void refuse(ReservationRequest request, ErrorCode code, Duration retryAfter) {
    commands.send(
        request.requester(),
        new ReserveRefused(request.attempt(), code, retryAfter.toNanos(), summary()));
  }

  private void sendQueued(ReservationRequest request) {
    commands.send(
        request.requester(),
        new ReserveQueued(request.attempt(), summary().predictedWaitNanos(), summary()));
  }

  /** Sends a grant, except for an adopted reservation: its KV source is not recorded. */
  private void sendGrant(Reservation r) {
    if (r.decodeEngine == null || r.kvSource == null) {
      return;
    }
    commands.send(
        r.requester,
        new ReserveGranted(
            r.attempt,
            r.kvSource,
            r.decodeEngine.upstream.id(),
            Math.max(1, r.expiresNanos - commands.now()),
            summary()));
  }
}
