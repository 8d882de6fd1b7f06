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

/** Admission to one cell: reservations, the queue, and what was learned about its engines. */
final class CellAdmission {
  /** Time for renewals and request lists to arrive after this node took the cell over. */
  static final long HANDOVER_NANOS = 2_500_000_000L;

  /** How long a reservation lasts beyond what is predicted, nanoseconds. */
  static final long GRANT_MARGIN_NANOS = 2_000_000_000L;

  /** How long a reservation in decode lasts without a renewal, nanoseconds. */
  static final long DECODE_VALID_NANOS = 20_000_000_000L;

  // Every answer carries a summary; in a burst they need not be computed anew.
  private static final long SUMMARY_AGE_NANOS = 2_000_000;

  private static final int QUEUE_LOOK_AHEAD = 4;
  private static final long CRASH_BLOCK_NANOS = 3_000_000_000L;
  // An engine that keeps failing is tried again after 1 s, 2 s, 4 s and so on up to 16 s.
  private static final int MAX_DOUBLINGS = 4;
  private static final long FAILURE_BLOCK_NANOS = 1_000_000_000L;
  private static final long REFUSAL_BLOCK_NANOS = 150_000_000L;
  // The last ten requests or so make the usual size.
  private static final double NEWEST_SIZE_WEIGHT = 0.1;
  // Only until departures were observed: a slot is held for about 10 s.
  private static final double INITIAL_DEPARTURES_PER_SLOT = 0.1;

  /** What a cell needs from its node. */
  record Environment(
      CommandCollector effects,
      RandomGenerator random,
      CrashEvidence evidence,
      NodeSettings settings) {}

  /** Receives crashes that a cell recognised. */
  interface CrashListener {
    void crashed(UpstreamId upstream, List<Fingerprint> running);
  }

  private Cell cell;
  private final CommandCollector fx;
  private final CrashEvidence evidence;
  private final NodeSettings settings;
  private final RetryAfterJitter spread;
  private final CrashListener crashes;
  private final Map<UpstreamId, EngineState> engines = new LinkedHashMap<>();
  private final Map<AttemptId, Reservation> reservations = new HashMap<>();
  private final FairQueue queue = new FairQueue();
  private final LinkEstimate link = new LinkEstimate();
  private final DepartureRate departures = new DepartureRate();
  private Placer placer;
  private final LeavingUpstreams leaving;
  private final long handoverUntilNanos;
  private @Nullable CellSummary summary;
  private long summaryNanos;
  private long idleSinceNanos;
  private double usualPieces;

  CellAdmission(Cell cell, Environment env, CrashListener crashes, LeavingUpstreams leaving) {
    this.cell = cell;
    this.fx = env.effects();
    this.evidence = env.evidence();
    this.settings = env.settings();
    this.spread = new RetryAfterJitter(env.random());
    this.crashes = crashes;
    this.leaving = leaving;
    this.placer = placer(cell);
    this.handoverUntilNanos = fx.now() + HANDOVER_NANOS;
    this.idleSinceNanos = fx.now();
  }

  Cell cell() {
    return cell;
  }

  boolean idle() {
    return reservations.isEmpty() && queue.size() == 0;
  }

  long idleSinceNanos() {
    return idleSinceNanos;
  }

  int reservationCount() {
    return reservations.size();
  }

  int queuedCount() {
    return queue.size();
  }

  /** Returns the capacity of the cell, at most {@link #SUMMARY_AGE_NANOS} old. */
  CellSummary summary() {
    long now = fx.now();
    CellSummary known = summary;
    if (known == null || now - summaryNanos >= SUMMARY_AGE_NANOS) {
      int free = Math.max(0, freeDecodeSlots() - queue.size());
      known = new CellSummary(cell.name(), free, predictedWait(null));
      summary = known;
      summaryNanos = now;
    }
    return known;
  }

  /** Answers an ask with a grant, a place in the queue or a refusal; a repeated one likewise. */
  void reserve(Ask ask) {
    idleSinceNanos = fx.now();
    Reservation held = reservations.get(ask.attempt());
    if (held != null) {
      sendGrant(held);
      return;
    }
    if (queue.contains(ask.attempt())) {
      sendQueued(ask);
      return;
    }
    learnSize(ask);
    if (evidence.suspicionLevel(ask.fingerprint(), fx.now()) == SuspicionLevel.QUARANTINED) {
      refuse(ask, ErrorCode.REQUEST_QUARANTINED, Duration.ZERO);
      return;
    }
    if (queue.size() > 0 && ask.source() == null) {
      enqueue(ask);
      pump();
      return;
    }
    switch (tryGrant(ask)) {
      case GRANTED -> {}
      case TOO_LATE -> refuseOverloaded(ask);
      case NO_ROOM -> {
        if (ask.source() != null) {
          // The KV cache may expire while it waits, and the entry node has a better way out.
          refuseOverloaded(ask);
        } else {
          enqueue(ask);
        }
      }
    }
  }

  void withdraw(AttemptId attempt) {
    queue.remove(attempt);
    Reservation r = reservations.remove(attempt);
    if (r != null) {
      free(r, false);
      pump();
    }
  }

  /** Keeps a reservation, and learns from how long its stage took. */
  void renew(HostId from, ReservationRenew renew) {
    Reservation r = reservations.get(renew.attempt());
    if (r == null) {
      adopt(from, renew);
      return;
    }
    if (r.source == null) {
      moveAdopted(r, renew);
    }
    if (renew.stage() == Stage.TRANSFER && r.stage == Stage.PREFILL) {
      if (r.prefill != null) {
        r.prefill.failures = 0;
      }
      prefillEnded(r, true);
      enter(r, Stage.TRANSFER);
    } else if (renew.stage() == Stage.DECODE && r.stage != Stage.DECODE) {
      transferEnded(r, true);
      enter(r, Stage.DECODE);
      r.tokensAtNanos = fx.now();
      r.tokensSoFar = renew.tokensSoFar();
    } else if (renew.stage() == Stage.DECODE) {
      observeTokens(r, renew.tokensSoFar());
    }
    r.expiresNanos = fx.now() + DECODE_VALID_NANOS;
    pump();
  }

  /** Frees what an attempt holds and takes note of how it ended. */
  void release(ReservationRelease release) {
    queue.remove(release.attempt());
    Reservation r = reservations.get(release.attempt());
    EngineState e = engines.get(release.upstream());
    if (e != null) {
      note(e, r, release.outcome());
    }
    if (r != null) {
      reservations.remove(release.attempt());
      free(r, release.outcome() == Outcome.FINISHED);
    }
    idleSinceNanos = fx.now();
    pump();
  }

  void loadReported(UpstreamId upstream, LoadReport report) {
    EngineState e = engines.get(upstream);
    if (e != null) {
      e.reportedRunning = report.runningRequests();
    }
  }

  /** Counts the attempts of other nodes that this one has no reservation for. */
  void heldListed(UpstreamId upstream, List<HeldAttempt> held) {
    EngineState e = engines.get(upstream);
    if (e == null) {
      return;
    }
    int unknown = 0;
    Set<String> known = new HashSet<>();
    for (Reservation r : reservations.values()) {
      if (r.prefill == e || r.decode == e) {
        known.add(r.attempt.toString());
      }
    }
    for (HeldAttempt h : held) {
      if (!known.contains(h.attempt())) {
        unknown++;
      }
    }
    e.unaccounted = unknown;
    pump();
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
    return new Placer(next, engines.values(), leaving);
  }

  /** Drops what nodes hold that are gone. */
  void keepOwners(Predicate<HostId> alive) {
    for (Reservation r : new ArrayList<>(reservations.values())) {
      if (!alive.test(r.owner)) {
        reservations.remove(r.attempt);
        free(r, false);
      }
    }
    for (Ask a : queue.all()) {
      if (!alive.test(a.from())) {
        queue.remove(a.attempt());
      }
    }
    pump();
  }

  /** Drops reservations that were not renewed and serves the queue. */
  void tick() {
    long now = fx.now();
    placer.relaxIdle(now);
    link.relax(now);
    for (Reservation r : new ArrayList<>(reservations.values())) {
      if (now >= r.expiresNanos) {
        reservations.remove(r.attempt);
        free(r, false);
      }
    }
    for (Ask ask : queue.all()) {
      if (now >= ask.firstTokenDeadlineNanos()) {
        queue.remove(ask.attempt());
        refuseOverloaded(ask);
      }
    }
    pump();
  }

  private enum Result {
    GRANTED,
    NO_ROOM,
    TOO_LATE
  }

  private void pump() {
    boolean progress = true;
    while (progress && queue.size() > 0 && placer.mayHaveRoom(fx.now())) {
      progress = false;
      for (Ask ask : queue.first(QUEUE_LOOK_AHEAD)) {
        Result result = tryGrant(ask);
        if (result == Result.GRANTED) {
          queue.served(ask.attempt());
          progress = true;
          break;
        }
        if (result == Result.TOO_LATE) {
          queue.remove(ask.attempt());
          refuseOverloaded(ask);
          progress = true;
          break;
        }
      }
    }
    if (queue.size() > 0) {
      long wait = Math.clamp(placer.nextPrefillNanos(fx.now()), 2_000_000, 20_000_000);
      fx.setTimer("cell", cell.name(), fx.now() + wait);
    }
  }

  private Result tryGrant(Ask ask) {
    long now = fx.now();
    if (ask.source() == null && !link.hasRoom()) {
      return Result.NO_ROOM;
    }
    boolean suspect = evidence.suspicionLevel(ask.fingerprint(), now) != SuspicionLevel.CLEAN;
    Placer.Placement p = placer.place(ask, suspect, link, now < handoverUntilNanos, now);
    if (p == null) {
      return Result.NO_ROOM;
    }
    if (now + p.firstTokenNanos() > latest(ask) && !acceptsLate(ask, p)) {
      return Result.TOO_LATE;
    }
    grant(ask, p, suspect);
    return Result.GRANTED;
  }

  private long latest(Ask ask) {
    double margin = ask.source() == null ? settings.tuning().deadlineMargin() : 0;
    return ask.firstTokenDeadlineNanos() - (long) (margin * ask.budgetNanos());
  }

  /** Returns whether a prompt too long for its deadline on any engine may use spare capacity. */
  private boolean acceptsLate(Ask ask, Placer.Placement p) {
    return ask.source() == null
        && p.nominalNanos() > ask.budgetNanos() * (1 - settings.tuning().deadlineMargin())
        && queue.size() <= 1
        && 2 * freeDecodeSlots() > usableDecodeSlots();
  }

  private void grant(Ask ask, Placer.Placement p, boolean suspect) {
    long now = fx.now();
    long bytes = cell.model().kvBytesPerToken() * ask.promptTokens();
    Reservation r =
        new Reservation(
            ask.attempt(),
            ask.from(),
            ask.fingerprint(),
            ask.prefillPieces(cell.model().memoryPieceTokens()),
            ask.decodePieces(cell.model().memoryPieceTokens()),
            bytes);
    r.suspect = suspect;
    r.nominalNanos = p.nominalNanos();
    r.expiresNanos = now + p.firstTokenNanos() + GRANT_MARGIN_NANOS;
    r.stageSinceNanos = now;
    EngineState prefill = p.prefill();
    if (prefill == null) {
      r.stage = Stage.TRANSFER;
    } else {
      // On a mixed engine that does both, prompt and answer share one slot and one allocation.
      hold(prefill, r, prefill == p.decode() ? r.decodePieces : r.prefillPieces);
      r.prefill = prefill;
      r.source = prefill.upstream.id();
      prefill.prefixes.add(ask.prefixBlocks());
      prefill.prefillGranted(r, now);
      if (placer.isProbe(prefill, now)) {
        prefill.probes.sent(now);
      }
    }
    if (ask.source() != null) {
      r.source = ask.source();
    }
    if (p.decode() != prefill) {
      hold(p.decode(), r, r.decodePieces);
    }
    r.decode = p.decode();
    p.decode().grantedSlots++;
    if (placer.isProbe(p.decode(), now)) {
      p.decode().probes.sent(now);
    }
    link.reserve();
    r.linkHeld = true;
    reservations.put(r.attempt, r);
    sendGrant(r);
  }

  private static void hold(EngineState e, Reservation r, int pieces) {
    e.heldSlots++;
    e.heldPieces += pieces;
    e.suspects += r.suspect ? 1 : 0;
  }

  private static void letGo(EngineState e, Reservation r, int pieces) {
    e.heldSlots--;
    e.heldPieces -= pieces;
    e.suspects -= r.suspect ? 1 : 0;
  }

  private void enter(Reservation r, Stage stage) {
    r.stage = stage;
    r.stageSinceNanos = fx.now();
  }

  private void prefillEnded(Reservation r, boolean finished) {
    if (r.prefill != null) {
      r.prefill.prefillEnded(r, fx.now(), finished);
    }
  }

  private void transferEnded(Reservation r, boolean finished) {
    long now = fx.now();
    if (r.stage == Stage.PREFILL) {
      prefillEnded(r, false);
    } else if (finished && r.decode != null && r.prefill != r.decode) {
      long duration = now - r.stageSinceNanos;
      long predicted = link.transferNanos(r.kvBytes);
      if (predicted > 0) {
        r.decode.transferPace.observe(duration, predicted);
      }
      link.observe(r.kvBytes, duration, now);
    }
    if (r.linkHeld) {
      link.release();
      r.linkHeld = false;
    }
    if (r.prefill != null && r.prefill != r.decode) {
      letGo(r.prefill, r, r.prefillPieces);
    }
    r.prefill = null;
  }

  private void free(Reservation r, boolean finished) {
    if (r.stage != Stage.DECODE) {
      transferEnded(r, false);
    }
    if (r.decode != null) {
      letGo(r.decode, r, r.decodePieces);
      r.decode.grantedSlots -= r.source == null ? 0 : 1;
      r.decode = null;
      if (finished) {
        departures.departed(fx.now());
      }
    }
  }

  private void observeTokens(Reservation r, int tokens) {
    long now = fx.now();
    int count = tokens - r.tokensSoFar;
    if (r.decode != null && count > 0) {
      long predicted = cell.model().tokenGapTarget().toNanos() * count;
      r.decode.tokenPace.observe(now - r.tokensAtNanos, predicted);
    }
    r.tokensSoFar = tokens;
    r.tokensAtNanos = now;
  }

  /** Takes over a reservation that another admitting node granted. */
  private void adopt(HostId from, ReservationRenew renew) {
    EngineState e = engines.get(renew.upstream());
    if (e == null) {
      return;
    }
    Reservation r = new Reservation(renew.attempt(), from, null, 0, 1, 0);
    r.stage = Stage.DECODE;
    r.decode = e;
    r.stageSinceNanos = fx.now();
    r.tokensSoFar = renew.tokensSoFar();
    r.tokensAtNanos = fx.now();
    r.expiresNanos = fx.now() + DECODE_VALID_NANOS;
    hold(e, r, r.decodePieces);
    reservations.put(r.attempt, r);
  }

  /** Follows an adopted reservation from its prefill engine to its decode engine. */
  private void moveAdopted(Reservation r, ReservationRenew renew) {
    EngineState next = engines.get(renew.upstream());
    if (next != null && r.decode != null && next != r.decode) {
      letGo(r.decode, r, r.decodePieces);
      hold(next, r, r.decodePieces);
      r.decode = next;
    }
  }

  private void note(EngineState e, @Nullable Reservation r, Outcome outcome) {
    long now = fx.now();
    switch (outcome) {
      case FINISHED, CANCELLED -> {}
      case REFUSED ->
          e.blockedUntilNanos = Math.max(e.blockedUntilNanos, now + REFUSAL_BLOCK_NANOS);
      case FAILED -> {
        e.block(now, FAILURE_BLOCK_NANOS << Math.min(MAX_DOUBLINGS, e.failures));
        e.failures++;
        if (r != null && r.stage == Stage.TRANSFER) {
          link.congested(now);
        }
      }
      case CRASHED -> crashed(e, r);
    }
  }

  private void crashed(EngineState e, @Nullable Reservation reporting) {
    long now = fx.now();
    e.block(now, CRASH_BLOCK_NANOS);
    e.prefixes.clear();
    e.unaccounted = 0;
    if (reporting == null || reporting.inCrashOf == e) {
      // Every entry node reports the same crash for its own attempts.
      return;
    }
    List<Fingerprint> running = new ArrayList<>();
    for (Reservation r : reservations.values()) {
      boolean inDecode = r.decode == e && r.stage != Stage.PREFILL;
      if ((r.prefill == e || inDecode) && r.inCrashOf != e) {
        r.inCrashOf = e;
        if (r.fingerprint != null) {
          running.add(r.fingerprint);
        }
      }
    }
    crashes.crashed(e.upstream.id(), running);
  }

  private void enqueue(Ask ask) {
    long wait = predictedWait(ask);
    if (fx.now() + wait + shortestService(ask) > latest(ask)) {
      refuseOverloaded(ask);
      return;
    }
    queue.add(ask, settings.weight(ask.workspace()));
    sendQueued(ask);
    pump();
  }

  private void learnSize(Ask ask) {
    int pieces = ask.decodePieces(cell.model().memoryPieceTokens());
    usualPieces =
        usualPieces == 0 ? pieces : usualPieces + NEWEST_SIZE_WEIGHT * (pieces - usualPieces);
  }

  /** Returns the requests of the usual size that there is room for: slots and KV memory count. */
  private int freeDecodeSlots() {
    return placer.freeDecodeSlots((int) usualPieces, fx.now());
  }

  private int usableDecodeSlots() {
    return placer.usableDecodeSlots((int) usualPieces, fx.now());
  }

  private long shortestService(Ask ask) {
    double rate = 0;
    for (EngineState e : placer.prefills()) {
      rate = Math.max(rate, e.upstream.prefillTokensPerSecond() / e.prefillPace.ratio());
    }
    long bytes = cell.model().kvBytesPerToken() * ask.promptTokens();
    return (long) (ask.promptTokens() * 1e9 / Math.max(1, rate)) + link.transferNanos(bytes);
  }

  /** Returns the predicted wait of a request before its prefill, nanoseconds. */
  private long predictedWait(@Nullable Ask ask) {
    long now = fx.now();
    WorkspaceId workspace = ask == null ? null : ask.workspace();
    long tokens = workspace == null ? queue.tokensWaiting() : queue.tokensBefore(workspace);
    double rate = placer.prefillTokensPerNano(now);
    long next = placer.nextPrefillNanos(now);
    if (rate <= 0 || next == Long.MAX_VALUE) {
      return Long.MAX_VALUE / 4;
    }
    long prefillWait = next + (long) (tokens / rate);
    int missing = queue.size() + 1 - freeDecodeSlots();
    if (missing <= 0) {
      return prefillWait;
    }
    double initial = INITIAL_DEPARTURES_PER_SLOT * Math.max(1, usableDecodeSlots());
    return Math.max(prefillWait, (long) (missing * 1e9 / departures.perSecond(now, initial)));
  }

  private void refuseOverloaded(Ask ask) {
    long budget = Math.max(1, ask.budgetNanos());
    Duration after = spread.draw(summary().predictedWaitNanos(), budget);
    boolean none = usableDecodeSlots() == 0;
    refuse(ask, none ? ErrorCode.UPSTREAM_UNAVAILABLE : ErrorCode.OVERLOADED, after);
  }

  private void refuse(Ask ask, ErrorCode code, Duration after) {
    fx.send(ask.from(), new ReserveRefused(ask.attempt(), code, after.toNanos(), summary()));
  }

  private void sendQueued(Ask ask) {
    fx.send(
        ask.from(), new ReserveQueued(ask.attempt(), summary().predictedWaitNanos(), summary()));
  }

  private void sendGrant(Reservation r) {
    if (r.decode == null || r.source == null) {
      return;
    }
    fx.send(
        r.owner,
        new ReserveGranted(
            r.attempt,
            r.source,
            r.decode.upstream.id(),
            Math.max(1, r.expiresNanos - fx.now()),
            summary()));
  }
}
