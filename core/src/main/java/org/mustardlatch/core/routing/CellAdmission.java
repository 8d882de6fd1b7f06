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

  /** Time to live of a reservation after each renewal, in any stage, nanoseconds. */
  static final long RENEWED_RESERVATION_NANOS = 20_000_000_000L;

  // Every response carries a summary; in a burst it is not recomputed for each of them.
  private static final long MAX_SUMMARY_AGE_NANOS = 2_000_000;

  // Requests at the head of the queue that are tried when the first one has no fitting engine.
  private static final int QUEUE_LOOKAHEAD = 4;
  // A blocked engine gets no new work for this time after a crash or a refusal.
  private static final long CRASH_BLOCK_NANOS = 3_000_000_000L;
  private static final long REFUSAL_BLOCK_NANOS = 150_000_000L;
  // Averages the request size over about the last ten requests.
  private static final double NEWEST_SIZE_WEIGHT = 0.1;
  // Departures per slot and second that are assumed until departures have been observed: a request
  // occupies a slot for about 10 s.
  private static final double INITIAL_DEPARTURES_PER_SLOT = 0.1;

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
  private final CrashListener crashListener;
  private final Map<UpstreamId, EngineState> engines = new LinkedHashMap<>();
  private final Map<AttemptId, Reservation> reservations = new HashMap<>();
  private final FairQueue queue = new FairQueue();
  private final KvTransferLimiter transferLimiter = new KvTransferLimiter();
  private final DepartureRate departureRate = new DepartureRate();
  private Placer placer;
  private final UnavailableUpstreams unavailableUpstreams;
  private final UpstreamLimits upstreamLimits;
  private final long handoverUntilNanos;
  private @Nullable CellSummary summary;
  private long summaryComputedNanos;
  private long lastActivityNanos;
  // KV memory of prompt and output, averaged over recent requests; 0 before the first one.
  private double averageRequestPieces;

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
    this.crashListener = crashListener;
    this.unavailableUpstreams = unavailableUpstreams;
    this.upstreamLimits = env.upstreamLimits();
    this.placer = createPlacer(cell);
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

  /**
   * Returns the free capacity and predicted wait of the cell, at most {@link
   * #MAX_SUMMARY_AGE_NANOS} old.
   */
  CellSummary summary() {
    long now = commands.now();
    CellSummary current = summary;
    if (current == null || now - summaryComputedNanos >= MAX_SUMMARY_AGE_NANOS) {
      int free = Math.max(0, freeDecodeCapacity() - queue.size());
      current = new CellSummary(cell.name(), free, estimateWaitNanos(null));
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
    updateAverageSize(request);
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
    Reservation r = reservations.remove(attempt);
    if (r != null) {
      freeReservation(r, false);
      serveQueue();
    }
  }

  /** Extends or adopts a reservation and updates the engine estimates with its progress. */
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
        r.prefillEngine.failureCount = 0;
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
    r.expiresNanos = commands.now() + RENEWED_RESERVATION_NANOS;
    serveQueue();
  }

  /** Frees the reservation of an attempt and records its outcome for the engine. */
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
    for (Reservation r : reservations.values()) {
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
    for (Reservation r : new ArrayList<>(reservations.values())) {
      if (!alive.test(r.requester)) {
        reservations.remove(r.attempt);
        freeReservation(r, false);
      }
    }
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
      // On an engine that runs both stages, prompt and output share one slot and one allocation.
      reserveSlot(prefill, r, prefill == p.decodeEngine() ? r.decodePieces : r.prefillPieces);
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
      reserveSlot(p.decodeEngine(), r, r.decodePieces);
    }
    r.decodeEngine = p.decodeEngine();
    p.decodeEngine().locallyGrantedDecodeSlots++;
    if (placer.isProbe(p.decodeEngine(), now)) {
      p.decodeEngine().probeLimiter.probeSent(now);
    }
    transferLimiter.acquire();
    r.hasTransferPermit = true;
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

  /** Frees the permit and prefill engine of an attempt that starts decode or ended before it. */
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
    if (r.hasTransferPermit) {
      transferLimiter.release();
      r.hasTransferPermit = false;
    }
    if (r.prefillEngine != null && r.prefillEngine != r.decodeEngine) {
      releaseSlot(r.prefillEngine, r, r.prefillPieces);
    }
    r.prefillEngine = null;
  }

  /** Frees everything that is still reserved. */
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

  /** Updates the token slowdown of the decode engine with the tokens since the last renewal. */
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

  /** Creates a reservation from the renewal of one that another admitting node granted. */
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
    r.expiresNanos = commands.now() + RENEWED_RESERVATION_NANOS;
    reserveSlot(e, r, r.decodePieces);
    reservations.put(r.attempt, r);
  }

  /** Moves an adopted reservation to the engine of its renewal, for example prefill to decode. */
  private void moveAdoptedReservation(Reservation r, ReservationRenew renew) {
    EngineState next = engines.get(renew.upstream());
    if (next != null && r.decodeEngine != null && next != r.decodeEngine) {
      releaseSlot(r.decodeEngine, r, r.decodePieces);
      reserveSlot(next, r, r.decodePieces);
      r.decodeEngine = next;
    }
  }

  /** Blocks an engine that refused, failed or crashed, and ends the backoff of one that works. */
  private void recordOutcome(EngineState e, @Nullable Reservation r, Outcome outcome) {
    long now = commands.now();
    switch (outcome) {
      case FINISHED -> e.failureCount = 0;
      case CANCELLED -> {}
      case REFUSED ->
          e.blockedUntilNanos = Math.max(e.blockedUntilNanos, now + REFUSAL_BLOCK_NANOS);
      case FAILED -> {
        e.blockAfterFailure(now);
        if (r != null && r.stage == Stage.TRANSFER) {
          transferLimiter.reduceLimit(now);
        }
      }
      case CRASHED -> recordCrash(e, r);
    }
  }

  /** Blocks a crashed engine and reports the requests that ran on it, once per crash. */
  private void recordCrash(EngineState e, @Nullable Reservation reportedBy) {
    long now = commands.now();
    e.blockFor(now, CRASH_BLOCK_NANOS);
    e.prefixIndex.clear();
    e.unreservedAttempts = 0;
    if (reportedBy == null || reportedBy.countedCrashEngine == e) {
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

  /** Queues a request, or refuses it if its first token is predicted after the deadline. */
  private void enqueue(ReservationRequest request) {
    long wait = estimateWaitNanos(request);
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

  /** Returns the number of average-sized requests that fit into free slots and KV memory. */
  private int freeDecodeCapacity() {
    return placer.freeDecodeCapacity((int) averageRequestPieces, commands.now());
  }

  /** Returns the number of average-sized requests that fit when the engines are empty. */
  private int totalDecodeCapacity() {
    return placer.totalDecodeCapacity((int) averageRequestPieces, commands.now());
  }

  /** Returns the predicted prefill and transfer time on the fastest prefill engine. */
  private long shortestServiceNanos(ReservationRequest request) {
    double rate = 0;
    for (EngineState e : placer.prefillEngines()) {
      rate = Math.max(rate, e.upstream.prefillTokensPerSecond() / e.prefillSlowdown.ratio());
    }
    long bytes = cell.model().kvBytesPerToken() * request.promptTokens();
    return (long) (request.promptTokens() * 1e9 / Math.max(1, rate))
        + transferLimiter.predictedTransferNanos(bytes);
  }

  /**
   * Returns the predicted wait of a request before its prefill, nanoseconds. If no engine can run a
   * prefill, this is {@code Long.MAX_VALUE / 4}, so that sums with it do not overflow.
   *
   * @param request null for a request behind all those in the queue
   */
  private long estimateWaitNanos(@Nullable ReservationRequest request) {
    long now = commands.now();
    WorkspaceId workspace = request == null ? null : request.workspace();
    long tokens =
        workspace == null ? queue.queuedPromptTokens() : queue.promptTokensAhead(workspace);
    double rate = placer.prefillTokensPerNano(now);
    long next = placer.nanosUntilNextPrefill(now);
    if (rate <= 0 || next == Long.MAX_VALUE) {
      return Long.MAX_VALUE / 4;
    }
    long permittedWait = placer.nanosUntilPermitted(queue.size(), now);
    long prefillWait = Math.max(permittedWait, next + (long) (tokens / rate));
    int missingSlots = queue.size() + 1 - freeDecodeCapacity();
    if (missingSlots <= 0) {
      return prefillWait;
    }
    double initial = INITIAL_DEPARTURES_PER_SLOT * Math.max(1, totalDecodeCapacity());
    return Math.max(
        prefillWait, (long) (missingSlots * 1e9 / departureRate.perSecond(now, initial)));
  }

  /** Refuses a request as overloaded, or as unavailable if no decode engine is usable. */
  private void refuseOverloaded(ReservationRequest request) {
    long budget = Math.max(1, request.budgetNanos());
    Duration retryAfter = retryAfterJitter.draw(summary().predictedWaitNanos(), budget);
    boolean noEngine = totalDecodeCapacity() == 0;
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
