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
 * Admission to one cell on its admitting node: grants requests in the order of the {@link
 * AdmissionQueue} while engines have free capacity, and refuses at once those that are predicted to
 * get none in time.
 */
final class CellAdmission {
  /** Time for renewals and attempt lists of engines to arrive after a takeover of the cell. */
  static final long HANDOVER_NANOS = 2_500_000_000L;

  /** Time that a reservation lasts beyond the predicted first token, nanoseconds. */
  static final long GRANT_MARGIN_NANOS = 2_000_000_000L;

  // Every response carries a summary; in a burst it is not recomputed for each of them.
  private static final long MAX_SUMMARY_AGE_NANOS = 2_000_000;

  // Multiple of the average KV memory from which a request is large.
  private static final double MIN_LARGE_SIZE = 1.5;
  // Sizes in pieces of KV memory, each up to twice as large as the one before.
  private static final int SIZE_CLASSES = 24;
  // Memory is held for a size that is granted less often than this multiple of the share
  // of all requests of its rank.
  private static final double LARGE_SHARE = 0.9;
  // One engine in this many, and at least one, is held for a large request at the same time.
  private static final int ENGINES_PER_HOLD = 2;
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
  private final AdmissionQueue queue = new AdmissionQueue();
  private final Map<Integer, GrantShares> sizeShares = new HashMap<>();
  private final List<DecodeMemoryHold> holds = new ArrayList<>();
  private final KvTransferLimiter transferLimiter = new KvTransferLimiter();
  private final DepartureRate departureRate = new DepartureRate();
  private Placer placer;
  private final CapacityForecast forecast;
  private final UnavailableUpstreams unavailableUpstreams;
  private final UpstreamLimits upstreamLimits;
  private final long handoverUntilNanos;

  /** Whether the queue may hold requests that are bound to a software version. */
  private boolean mayHaveQueuedBound;

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
      current = new CellSummary(cell.name(), free, forecast.totalWaitNanos(now));
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
    mayHaveQueuedBound |= request.isBoundToVersion();
    forecast.requestArrived(request);
    queue.recordArrival(request, commands.now());
    sizeShares(request).recordArrival(sizeClass(request), commands.now());
    if (evidence.suspicionLevel(request.fingerprint(), commands.now())
        == SuspicionLevel.QUARANTINED) {
      refuse(request, ErrorCode.REQUEST_QUARANTINED, Duration.ZERO);
      return;
    }
    if (request.isBoundToVersion()
        && placer.decodeEngines().stream().noneMatch(e -> request.mayDecodeAt(e.upstream))) {
      commands.explain(
          request.attempt().request(), "no_engine_of_version", request.engineVersion() + "");
      refuse(request, ErrorCode.UPSTREAM_UNAVAILABLE, Duration.ZERO);
      return;
    }
    if (isLargerThanEveryEngine(request)) {
      commands.explain(request.attempt().request(), "larger_than_engines", cell.name());
      refuseOverloaded(request);
      return;
    }
    if (queue.size() > 0 && request.kvSource() == null && !request.isBoundToVersion()) {
      if (takeTurnOfLarge(request)) {
        return;
      }
      enqueue(request);
      serveQueue();
      return;
    }
    switch (tryGrant(request, latestFirstTokenNanos(request))) {
      case GRANTED -> {
        queue.recordGrant(request);
        sizeShares(request).recordGrant(sizeClass(request));
        forecast.recordOnTimeGrant(commands.now());
      }
      case DEADLINE_UNREACHABLE -> {
        enqueueLate(request);
        serveQueue();
      }
      case NO_CAPACITY -> {
        if (request.kvSource() != null) {
          // The KV cache may expire while the request waits. After a refusal, the entry node can
          // start a new attempt at once.
          refuseOverloaded(request);
        } else {
          enqueue(request);
          serveQueue();
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
      if (now >= request.waitLimitNanos()) {
        queue.remove(request.attempt());
        refuseOverloaded(request);
      } else if (now >= request.firstTokenDeadlineNanos()
          && !queue.isLate(request.attempt())
          && holdOf(request) == null) {
        deadlinePassed(request);
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
    fillHolds();
    serveBoundToVersion();
    boolean progress = true;
    while (progress && queue.size() > 0 && placer.mayHaveCapacity(commands.now())) {
      progress = false;
      boolean first = true;
      for (ReservationRequest request : nextWithoutHold()) {
        boolean late = queue.isLate(request.attempt());
        if (late && forecast.lateCapacity(commands.now()) <= 0) {
          break;
        }
        GrantResult result =
            tryGrant(request, late ? request.waitLimitNanos() : latestFirstTokenNanos(request));
        if (result == GrantResult.GRANTED) {
          served(request, late);
          progress = true;
          break;
        }
        if (result == GrantResult.DEADLINE_UNREACHABLE) {
          deadlinePassed(request);
          progress = true;
          break;
        }
        if (first && !late && request.mayBeLate() && startHold(request)) {
          progress = true;
          break;
        }
        first = false;
      }
    }
    if (queue.size() > 0) {
      long wait = Math.clamp(placer.nanosUntilNextPrefill(commands.now()), 2_000_000, 20_000_000);
      commands.setTimer("cell", cell.name(), commands.now() + wait);
    }
  }

  /**
   * Grants queued requests that can only go on at some of the engines before others take these:
   * they have begun, and others can use any engine.
   */
  private void serveBoundToVersion() {
    if (!mayHaveQueuedBound) {
      return;
    }
    mayHaveQueuedBound = false;
    for (ReservationRequest request : queue.allRequests()) {
      if (request.isBoundToVersion()) {
        if (holdOf(request) == null
            && tryGrant(request, request.waitLimitNanos()) == GrantResult.GRANTED) {
          served(request, queue.isLate(request.attempt()));
        } else {
          mayHaveQueuedBound = true;
        }
      }
    }
  }

  /** Returns the next requests in service order for which no memory is held. */
  private List<ReservationRequest> nextWithoutHold() {
    List<ReservationRequest> next =
        new ArrayList<>(queue.nextRequests(QUEUE_LOOKAHEAD + holds.size()));
    next.removeIf(r -> holdOf(r) != null);
    return next;
  }

  private void served(ReservationRequest request, boolean late) {
    queue.removeServed(request.attempt());
    queue.recordGrant(request);
    sizeShares(request).recordGrant(sizeClass(request));
    if (!late) {
      forecast.recordOnTimeGrant(commands.now());
    }
  }

  /** Moves a queued request that cannot be on time behind the others, or refuses it. */
  private void deadlinePassed(ReservationRequest request) {
    boolean wasLate = queue.isLate(request.attempt());
    queue.remove(request.attempt());
    if (wasLate) {
      refuseOverloaded(request);
    } else {
      enqueueLate(request);
    }
  }

  private @Nullable DecodeMemoryHold holdOf(ReservationRequest request) {
    for (DecodeMemoryHold h : holds) {
      if (h.request.attempt().equals(request.attempt())) {
        return h;
      }
    }
    return null;
  }

  /**
   * Grants a large request, or holds memory for it, if requests of its size were granted less often
   * than others of its rank. In the queue it would never come first on time: its own prefill takes
   * a larger part of its objective, so it would be refused while smaller ones still wait.
   */
  private boolean takeTurnOfLarge(ReservationRequest request) {
    if (!request.mayBeLate()
        || forecast.relativeSize(request) < MIN_LARGE_SIZE
        || !sizeShares(request).isBelowGuarantee(sizeClass(request))) {
      return false;
    }
    queue.add(request, settings.workspaceWeight(request.workspace()));
    if (tryGrant(request, request.waitLimitNanos()) == GrantResult.GRANTED) {
      served(request, false);
      return true;
    }
    if (startHold(request)) {
      sendQueued(request);
      serveQueue();
      return true;
    }
    queue.remove(request.attempt());
    return false;
  }

  /**
   * Starts to hold memory for a request whose turn has come and that does not fit, if that is the
   * reason for which it cannot be granted, requests of its size were granted less often than
   * others, and few enough engines are held.
   */
  private boolean startHold(ReservationRequest request) {
    if (!sizeShares(request).isBelowGuarantee(sizeClass(request))
        || holds.size() >= Math.max(1, placer.decodeEngines().size() / ENGINES_PER_HOLD)) {
      return false;
    }
    List<EngineState> candidates = new ArrayList<>(placer.decodeEngines());
    holds.forEach(h -> candidates.remove(h.engine));
    candidates.removeIf(e -> !request.mayDecodeAt(e.upstream));
    int pieces = request.decodeMemoryPieces(cell.model().memoryPieceTokens());
    DecodeMemoryHold hold =
        DecodeMemoryHold.start(request, candidates, pieces, unavailableUpstreams, commands.now());
    if (hold == null) {
      return false;
    }
    holds.add(hold);
    commands.explain(request.attempt().request(), "memory_held", "on " + hold.engine.upstream.id());
    return true;
  }

  /** Grants the requests whose held memory is complete and drops holds that are of no use. */
  private void fillHolds() {
    for (DecodeMemoryHold h : List.copyOf(holds)) {
      boolean usable =
          engines.get(h.engine.upstream.id()) == h.engine
              && h.engine.isUsableSoon(unavailableUpstreams, commands.now());
      if (!usable || !queue.contains(h.request.attempt())) {
        h.release();
        holds.remove(h);
      } else if (h.fill()) {
        h.release();
        switch (tryGrant(h.request, h.request.waitLimitNanos())) {
          case GRANTED -> {
            holds.remove(h);
            served(h.request, false);
          }
          case DEADLINE_UNREACHABLE -> {
            holds.remove(h);
            queue.remove(h.request.attempt());
            refuseOverloaded(h.request);
          }
          case NO_CAPACITY -> h.fill();
        }
      }
    }
  }

  /** Returns the grants of requests of the same rank by size. */
  private GrantShares sizeShares(ReservationRequest request) {
    return sizeShares.computeIfAbsent(
        request.rank(), r -> new GrantShares(SIZE_CLASSES, LARGE_SHARE));
  }

  /** Returns the class of the size of a request: the exponent of its KV memory in pieces. */
  private int sizeClass(ReservationRequest request) {
    int pieces = request.decodeMemoryPieces(cell.model().memoryPieceTokens());
    return Math.max(0, Math.getExponent((float) pieces));
  }

  /** Returns whether no engine has the memory for a request, even when it is empty. */
  private boolean isLargerThanEveryEngine(ReservationRequest request) {
    int pieces = request.decodeMemoryPieces(cell.model().memoryPieceTokens());
    List<EngineState> pool = placer.decodeEngines();
    return !pool.isEmpty()
        && pool.stream()
            .allMatch(e -> e.upstream.memoryPieces() > 0 && e.upstream.memoryPieces() < pieces);
  }

  /** Grants a request if a placement with free capacity has its first token by {@code latest}. */
  private GrantResult tryGrant(ReservationRequest request, long latest) {
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
    if (now + p.firstTokenNanos() > latest && !mayExceedDeadline(request, p)) {
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
    long now = commands.now();
    long start = now + forecast.onTimeWaitNanos(request, now);
    if (start + forecast.shortestServiceNanos(request) > latestFirstTokenNanos(request)) {
      enqueueLate(request);
      return;
    }
    queue.add(request, settings.workspaceWeight(request.workspace()));
    sendQueued(request);
  }

  /**
   * Queues a request that cannot be on time behind those that can, or refuses it if its caller
   * leaves before its predicted first token.
   */
  private void enqueueLate(ReservationRequest request) {
    long now = commands.now();
    long start = now + forecast.lateWaitNanos(request, now);
    if (!request.mayBeLate()
        || start + forecast.shortestServiceNanos(request) > request.waitLimitNanos()) {
      refuseOverloaded(request);
      return;
    }
    queue.addLate(request, settings.workspaceWeight(request.workspace()));
    commands.explain(request.attempt().request(), "queued_late", cell.name());
    sendQueued(request);
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
