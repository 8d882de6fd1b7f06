package org.mustardlatch.core.routing;

import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.AdmissionMessage.CellSummary;
import org.mustardlatch.core.peer.AdmissionMessage.Outcome;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveGranted;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveQueued;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveRefused;
import org.mustardlatch.core.peer.AdmissionMessage.Stage;
import org.mustardlatch.core.peer.EvidenceMessage.RunPermission;
import org.mustardlatch.core.peer.EvidenceMessage.RunRequest;
import org.mustardlatch.core.quarantine.CrashEvidence;
import org.mustardlatch.core.quarantine.CrashEvidence.Standing;
import org.mustardlatch.core.routing.RequestTable.Found;

/** The requests of this node's callers, from arrival to the one final answer. */
final class EntrySide {
  static final String TIMER = "request";

  private static final long PERMISSION_TIMEOUT_NANOS = 100_000_000;
  private static final long PERMISSION_WAIT_NANOS = 200_000_000;
  private static final int MAX_PERMISSION_ASKS = 3;

  /** KV caches with less time left than this are not given to another decode engine. */
  private static final long MIN_KV_LIFE_NANOS = 150_000_000;

  private static final long FIRST_RENEW_NANOS = 1_000_000_000;
  private static final long RENEW_NANOS = 9_000_000_000L;
  private static final int STALL_FACTOR = 10;
  // Time to read what arrived during a pause, above all leaving notices, before new work starts.
  private static final long SETTLE_NANOS = 200_000_000;
  private static final int MAX_ATTEMPTS = 8;
  private static final int MAX_LOCAL_CELLS = 2;
  private static final int ANSWER_BYTES_PER_TOKEN = 5;
  private static final Duration LATER = Duration.ofSeconds(1);

  private final Effects fx;
  private final NodeSettings settings;
  private final CrashEvidence evidence;
  private final EvidenceSide evidenceSide;
  private final LeavingUpstreams leaving;
  private final RegionId region;
  private final RetrySpread spread;
  private final CellChooser chooser;
  private final AttemptDriver driver;
  private final AttemptTimes times;
  private final UnitBudget retries = new UnitBudget(10, 40);
  private final UnitBudget hedges = new UnitBudget(1, 5);
  private final CrossRegionBudget crossing = new CrossRegionBudget();
  private final RequestTable requests = new RequestTable();
  private Topology topology;
  private boolean draining;

  /** Time before which no attempt starts, after a pause. */
  private long settledNanos = Long.MIN_VALUE;

  EntrySide(
      CellAdmission.Environment env,
      EvidenceSide evidenceSide,
      LeavingUpstreams leaving,
      RegionId region,
      Topology topology) {
    this.fx = env.effects();
    this.settings = env.settings();
    this.evidence = env.evidence();
    this.evidenceSide = evidenceSide;
    this.leaving = leaving;
    this.region = region;
    this.times = new AttemptTimes(settings, region);
    this.spread = new RetrySpread(env.random());
    this.chooser = new CellChooser(region, env.random());
    this.topology = topology;
    this.driver = new AttemptDriver(fx, topology);
  }

  int size() {
    return requests.size();
  }

  boolean holds(String attempt) {
    return requests.holds(attempt);
  }

  void drain() {
    draining = true;
  }

  void topologyChanged(Topology next) {
    topology = next;
    driver.topologyChanged(next);
    chooser.keep(next);
    Manifest manifest = settings.manifest();
    if (manifest != null) {
      crossing.configure(manifest.link(), next.membersIn(region));
    }
    for (EntryRequest q : requests.all()) {
      for (Attempt a : q.live()) {
        driver.ownerChanged(q, a);
      }
      arm(q);
    }
  }

  void arrived(GenerationRequest request) {
    EntryRequest q = requests.add(request, fx.now());
    if (q == null) {
      return;
    }
    Model model = topology.model(request.model());
    if (draining) {
      refuse(q, ErrorCode.DRAINING, "this node is draining; the request did not run", LATER);
    } else if (settings.manifest() == null) {
      refuse(q, ErrorCode.NOT_READY, "no manifest is in force yet", LATER);
    } else if (model == null) {
      refuse(q, ErrorCode.UNKNOWN_MODEL, "no model " + request.model(), Duration.ZERO);
    } else if (request.promptTokens() > model.maxPromptTokens()) {
      String detail =
          "prompt has " + request.promptTokens() + " tokens, at most " + model.maxPromptTokens();
      refuse(q, ErrorCode.PROMPT_TOO_LONG, detail, Duration.ZERO);
    } else {
      retries.earn(settings.limits().retryBudgetFraction());
      hedges.earn(settings.limits().hedgeBudgetFraction());
      begin(q);
    }
  }

  void callerGone(RequestId id) {
    EntryRequest q = requests.get(id);
    if (q != null) {
      fx.explain(id, "caller_gone", "cancelled in " + q.stage());
      close(q, Outcome.CANCELLED);
    }
  }

  // ---- starting attempts ----

  /** Starts an attempt with a prefill, after the permission that a suspect needs. */
  private void begin(EntryRequest q) {
    long now = fx.now();
    if (now < settledNanos) {
      fx.explain(q.request.id(), "held_back", "this node reads what it missed in a pause");
      fx.timer(TIMER, q.request.id().value(), settledNanos);
      return;
    }
    if (now >= q.request.finalDeadlineNanos()) {
      refuse(q, ErrorCode.DEADLINE_EXCEEDED, "the final deadline passed", Duration.ZERO);
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
      cross(q, ErrorCode.UPSTREAM_UNAVAILABLE, LATER);
      return;
    }
    launch(q, cell, null);
  }

  private void launch(EntryRequest q, Cell cell, @Nullable KvHandle inherited) {
    Attempt a = new Attempt(q.nextAttempt(), cell, inherited);
    q.current = a;
    a.enter(Attempt.State.ASKING, fx.now());
    if (driver.askNext(q, a)) {
      arm(q);
    } else {
      q.current = null;
      cellRefused(q, cell.name(), ErrorCode.UPSTREAM_UNAVAILABLE, LATER);
    }
  }

  /** Asks the other region when the local cells refused, or gives up. */
  private void cross(EntryRequest q, ErrorCode code, Duration retryAfter) {
    Cell cell = chooser.remote(topology, q.request.model(), q.refusedCells, fx.now());
    if (cell != null && q.attempts() < MAX_ATTEMPTS) {
      double bytes =
          q.request.promptBytes() + (double) ANSWER_BYTES_PER_TOKEN * q.remainingTokens();
      if (crossing.take(bytes * settings.tuning().crossingCost(), fx.now())) {
        fx.explain(q.request.id(), "cross_region", "cell=" + cell.name() + " bytes=" + bytes);
        q.crossed = true;
        launch(q, cell, null);
        return;
      }
      fx.explain(q.request.id(), "cross_region_budget", "no budget for " + bytes + " bytes");
    }
    refuse(q, code, "no cell can meet the first-token deadline", retryAfter);
  }

  private void cellRefused(EntryRequest q, String cell, ErrorCode code, Duration retryAfter) {
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

  private void askPermission(EntryRequest q) {
    q.waitsForPermission = true;
    List<HostId> owners = evidenceSide.owners(q.request.fingerprint());
    if (owners.isEmpty() || q.permissionAsks >= MAX_PERMISSION_ASKS) {
      // No owner answers; the admitting node still keeps suspects apart.
      permitted(q);
      return;
    }
    HostId owner = owners.get(q.permissionAsks % owners.size());
    q.permissionAsks++;
    fx.send(owner, new RunRequest(q.request.fingerprint(), q.request.id().value()));
    fx.timer(TIMER, q.request.id().value(), fx.now() + PERMISSION_TIMEOUT_NANOS);
  }

  void permission(RunPermission answer) {
    EntryRequest q = requests.byName(answer.attempt());
    if (q != null && q.waitsForPermission) {
      switch (answer.verdict()) {
        case RUN -> permitted(q);
        case QUARANTINED -> quarantined(q);
        case WAIT -> {
          q.permissionAsks = 0;
          if (fx.now() >= q.request.firstTokenDeadlineNanos()) {
            refuse(q, ErrorCode.OVERLOADED, "the same request is being examined", LATER);
          } else {
            fx.timer(TIMER, q.request.id().value(), fx.now() + PERMISSION_WAIT_NANOS);
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

  private void quarantined(EntryRequest q) {
    String detail = "its content was on two engines that crashed";
    refuse(q, ErrorCode.REQUEST_QUARANTINED, detail, Duration.ZERO);
  }

  // ---- answers of admitting nodes ----

  void summary(CellSummary summary) {
    chooser.learn(summary, fx.now());
  }

  void granted(HostId from, ReserveGranted grant) {
    chooser.learn(grant.summary(), fx.now());
    if (!(requests.find(grant.attempt()) instanceof Found(EntryRequest q, Attempt a))) {
      driver.decline(from, grant);
      return;
    }
    if (a.granted()) {
      if (!from.equals(a.admitter)) {
        driver.decline(from, grant);
      }
      return;
    }
    boolean prefillLeaves = a.inherited == null && leaving.contains(grant.prefill(), fx.now());
    if (prefillLeaves || leaving.contains(grant.decode(), fx.now())) {
      q.excluded.add(prefillLeaves ? grant.prefill() : grant.decode());
      fx.explain(q.request.id(), "leaving_upstream", "declined a grant on " + grant.decode());
      driver.decline(from, grant);
      driver.askAgain(q, a);
      return;
    }
    String detail = "cell=" + a.cell.name() + " prefill=" + grant.prefill();
    fx.explain(q.request.id(), "reserved", detail + " decode=" + grant.decode());
    q.refusedCells.clear();
    driver.start(q, a, from, grant);
    arm(q);
  }

  void queued(HostId from, ReserveQueued answer) {
    chooser.learn(answer.summary(), fx.now());
    if (requests.find(answer.attempt()) instanceof Found(EntryRequest q, Attempt a)
        && !a.granted()) {
      a.progressNanos = fx.now();
      if (a.state != Attempt.State.QUEUED) {
        a.enter(Attempt.State.QUEUED, fx.now());
        fx.explain(q.request.id(), "queued", "at " + from);
      }
      arm(q);
    }
  }

  void refused(ReserveRefused answer) {
    chooser.learn(answer.summary(), fx.now());
    if (!(requests.find(answer.attempt()) instanceof Found(EntryRequest q, Attempt a))
        || a.granted()) {
      return;
    }
    Duration after = Duration.ofNanos(answer.retryAfterNanos());
    if (a == q.hedge) {
      q.hedge = null;
      return;
    }
    q.current = null;
    if (answer.code() == ErrorCode.REQUEST_QUARANTINED) {
      quarantined(q);
      return;
    }
    fx.explain(q.request.id(), "cell_refused", a.cell.name() + " " + answer.code().wireName());
    if (a.inherited != null) {
      fx.emit(new RoutingCommand.ReleaseKv(a.inherited));
      retry(q, Failure.KV_EXPIRED);
      return;
    }
    cellRefused(q, a.cell.name(), answer.code(), after);
  }

  // ---- events of upstreams ----

  void prefillFinished(AttemptId id, KvHandle handle) {
    if (!(requests.find(id) instanceof Found(EntryRequest q, Attempt a))
        || a.state != Attempt.State.PREFILL) {
      fx.emit(new RoutingCommand.ReleaseKv(handle));
      return;
    }
    promote(q, a);
    if (fx.now() > times.latestUseful(q, a)) {
      fx.emit(new RoutingCommand.ReleaseKv(handle));
      driver.release(a, Outcome.CANCELLED);
      q.current = null;
      String detail = "prefill ended after the first-token deadline";
      fx.explain(q.request.id(), "prefill_late", detail);
      refuse(q, ErrorCode.DEADLINE_EXCEEDED, detail, LATER);
      return;
    }
    if (fx.now() >= handle.expiresNanos()) {
      failed(q, a, a.prefill, Failure.KV_EXPIRED);
      return;
    }
    driver.startDecode(q, a, handle);
    driver.renew(q, a, Stage.TRANSFER);
    arm(q);
  }

  /** Makes the attempt the only one; the first prefill to end wins over its hedge. */
  private void promote(EntryRequest q, Attempt winner) {
    Attempt other = winner == q.current ? q.hedge : q.current;
    if (other != null) {
      fx.explain(q.request.id(), "hedge_lost", "attempt " + other.id.number());
      driver.cancel(other, Outcome.CANCELLED, false);
    }
    q.current = winner;
    q.hedge = null;
  }

  void prefillFailed(AttemptId id, Failure failure) {
    if (requests.find(id) instanceof Found(EntryRequest q, Attempt a)
        && a.state == Attempt.State.PREFILL) {
      failed(q, a, a.prefill, failure);
    }
  }

  void decodeStarted(AttemptId id) {
    if (requests.find(id) instanceof Found(EntryRequest q, Attempt a)
        && a.state == Attempt.State.TRANSFER) {
      a.enter(Attempt.State.DECODE, fx.now());
      driver.renew(q, a, Stage.DECODE);
      arm(q);
    }
  }

  void tokensArrived(AttemptId id, int count) {
    if (!(requests.find(id) instanceof Found(EntryRequest q, Attempt a))) {
      return;
    }
    if (a.state == Attempt.State.TRANSFER) {
      decodeStarted(id);
    }
    q.tokensSent += count;
    a.progressNanos = fx.now();
  }

  void decodeFinished(AttemptId id) {
    if (requests.find(id) instanceof Found(EntryRequest q, Attempt a) && a.granted()) {
      complete(q, a);
    }
  }

  private void complete(EntryRequest q, Attempt a) {
    driver.release(a, Outcome.FINISHED);
    promote(q, a);
    q.current = null;
    if (q.suspectRun || evidence.standing(q.request.fingerprint(), fx.now()) == Standing.SUSPECT) {
      evidenceSide.cleared(q.request.fingerprint());
    }
    fx.emit(new RoutingCommand.Complete(q.request.id()));
    close(q, Outcome.FINISHED);
  }

  void decodeFailed(AttemptId id, Failure failure) {
    if (requests.find(id) instanceof Found(EntryRequest q, Attempt a)
        && a.granted()
        && a.state != Attempt.State.PREFILL) {
      if (q.remainingTokens() == 0) {
        complete(q, a);
      } else {
        failed(q, a, a.decode, failure);
      }
    }
  }

  /** Ends an attempt whose upstream failed and decides how the request goes on. */
  private void failed(EntryRequest q, Attempt a, @Nullable UpstreamId upstream, Failure failure) {
    fx.explain(q.request.id(), "attempt_failed", failure + " on " + upstream + " in " + a.state);
    if (upstream != null && failure != Failure.KV_EXPIRED) {
      q.excluded.add(upstream);
    }
    KvHandle handle = a.state == Attempt.State.TRANSFER ? a.handle : null;
    boolean reuse =
        handle != null
            && failure != Failure.KV_EXPIRED
            && handle.expiresNanos() - fx.now() >= MIN_KV_LIFE_NANOS
            && q.attempts() < MAX_ATTEMPTS;
    if (FailureRules.mayStillRun(failure)) {
      driver.cancel(a, Outcome.FAILED, reuse);
    } else {
      if (handle != null && !reuse) {
        fx.emit(new RoutingCommand.ReleaseKv(handle));
      }
      driver.release(a, FailureRules.outcome(failure));
    }
    reportCrash(q, a, upstream, failure);
    if (a == q.hedge) {
      q.hedge = null;
      return;
    }
    q.current = q.hedge;
    q.hedge = null;
    if (q.current != null) {
      arm(q);
    } else if (reuse && handle != null) {
      fx.explain(q.request.id(), "decode_reassigned", "KV cache of " + handle.source());
      launch(q, a.cell, handle);
    } else {
      retry(q, failure);
    }
  }

  private void reportCrash(
      EntryRequest q, Attempt a, @Nullable UpstreamId upstream, Failure failure) {
    if (failure != Failure.CRASHED) {
      return;
    }
    q.permitted = false;
    boolean admitterAlive = a.admitter != null && topology.member(a.admitter) != null;
    if (upstream != null && !admitterAlive) {
      evidenceSide.crashed(upstream, List.of(q.request.fingerprint()));
    }
  }

  private void retry(EntryRequest q, Failure failure) {
    long now = fx.now();
    boolean inTime =
        q.tokensSent > 0
            ? now < q.request.finalDeadlineNanos()
            : now < q.request.firstTokenDeadlineNanos();
    if (!inTime) {
      refuse(q, ErrorCode.DEADLINE_EXCEEDED, "failed too late to retry: " + failure, LATER);
    } else if (q.attempts() >= MAX_ATTEMPTS || !retries.take()) {
      fx.explain(q.request.id(), "retry_budget", "attempts=" + q.attempts());
      Duration after = spread.draw(2, 1);
      refuse(q, ErrorCode.UPSTREAM_FAILED, "upstream failed: " + failure, after);
    } else {
      String rule = q.tokensSent > 0 ? "continued" : "retried";
      fx.explain(q.request.id(), rule, "after " + failure + ", tokens=" + q.tokensSent);
      begin(q);
    }
  }

  // ---- time ----

  void timer(String subject) {
    EntryRequest q = requests.byName(subject);
    if (q != null) {
      check(q);
    }
  }

  private void check(EntryRequest q) {
    long now = fx.now();
    if (now >= q.request.finalDeadlineNanos()) {
      refuse(q, ErrorCode.DEADLINE_EXCEEDED, "the final deadline passed", Duration.ZERO);
      return;
    }
    if (q.waitsForPermission) {
      if (q.tokensSent == 0 && now >= q.request.firstTokenDeadlineNanos()) {
        refuse(q, ErrorCode.OVERLOADED, "the same request is being examined", LATER);
      } else {
        askPermission(q);
      }
      return;
    }
    if (q.current == null) {
      begin(q);
      return;
    }
    for (Attempt a : q.live()) {
      if (q.find(a.id) == a) {
        check(q, a);
      }
    }
    if (requests.get(q.request.id()) == q) {
      arm(q);
    }
  }

  private void check(EntryRequest q, Attempt a) {
    long now = fx.now();
    switch (a.state) {
      case ASKING -> {
        if (now - a.lastAskNanos >= times.askTimeout(a)) {
          nextOwner(q, a);
        }
      }
      case QUEUED -> checkQueued(q, a);
      case PREFILL -> checkPrefill(q, a);
      case TRANSFER -> {
        KvHandle h = a.handle;
        if (h != null && now >= AttemptTimes.transferLimit(a, h)) {
          failed(q, a, a.decode, Failure.STALLED);
        }
      }
      case DECODE -> checkDecode(q, a);
    }
  }

  private void nextOwner(EntryRequest q, Attempt a) {
    if (driver.askNext(q, a)) {
      a.enter(Attempt.State.ASKING, fx.now());
      return;
    }
    driver.cancel(a, Outcome.CANCELLED, false);
    if (a == q.hedge) {
      q.hedge = null;
      return;
    }
    q.current = null;
    fx.explain(q.request.id(), "no_admitting_node", "cell=" + a.cell.name());
    cellRefused(q, a.cell.name(), ErrorCode.UPSTREAM_UNAVAILABLE, LATER);
  }

  private void checkQueued(EntryRequest q, Attempt a) {
    long now = fx.now();
    if (q.tokensSent == 0 && now >= q.request.firstTokenDeadlineNanos()) {
      fx.explain(q.request.id(), "queue_too_long", "first-token deadline passed in the queue");
      Duration after = spread.draw(now - q.arrivedNanos, now - q.arrivedNanos);
      refuse(q, ErrorCode.OVERLOADED, "no engine became free in time", after);
    } else if (a.lastAskNanos > a.progressNanos && now - a.lastAskNanos >= times.askTimeout(a)) {
      nextOwner(q, a);
    } else if (now - a.lastAskNanos >= AttemptTimes.QUEUE_CHECK_NANOS) {
      driver.askAgain(q, a);
    }
  }

  private void checkPrefill(EntryRequest q, Attempt a) {
    long now = fx.now();
    if (now > times.latestUseful(q, a)) {
      fx.explain(q.request.id(), "prefill_late", "cancelled before decode");
      refuse(q, ErrorCode.DEADLINE_EXCEEDED, "prefill took too long", LATER);
    } else if (!a.extended && now >= AttemptTimes.hedgeAt(a)) {
      a.extended = true;
      driver.renew(q, a, Stage.PREFILL);
      hedge(q, a);
    }
  }

  /** Starts a second attempt for a late prefill when another engine can still be in time. */
  private void hedge(EntryRequest q, Attempt a) {
    long predicted = a.predictedNanos();
    boolean inTime = fx.now() + predicted < q.request.firstTokenDeadlineNanos();
    if (!settings.tuning().hedges() || q.hedged || q.tokensSent > 0 || !inTime) {
      return;
    }
    if (a != q.current || a.prefill == null || !hedges.take()) {
      return;
    }
    q.hedged = true;
    q.excluded.add(a.prefill);
    Attempt h = new Attempt(q.nextAttempt(), a.cell, null);
    h.enter(Attempt.State.ASKING, fx.now());
    if (driver.askNext(q, h)) {
      fx.explain(q.request.id(), "hedged", "prefill on " + a.prefill + " is late");
      q.hedge = h;
    }
  }

  private void checkDecode(EntryRequest q, Attempt a) {
    long now = fx.now();
    long gap = a.cell.model().tokenGapTarget().toNanos();
    if (now - a.progressNanos >= Math.max(AttemptTimes.MIN_STALL_NANOS, STALL_FACTOR * gap)) {
      failed(q, a, a.decode, Failure.STALLED);
      return;
    }
    long interval = a.extended ? RENEW_NANOS : FIRST_RENEW_NANOS;
    boolean slow = now - a.progressNanos >= 3 * gap;
    if (now - a.renewedNanos >= interval || (slow && now - a.renewedNanos >= FIRST_RENEW_NANOS)) {
      a.extended = true;
      driver.renew(q, a, Stage.DECODE);
    }
  }

  private void arm(EntryRequest q) {
    if (q.live().isEmpty()) {
      // It waits for a permission or for the end of a pause, which set their own timer.
      return;
    }
    long at = q.request.finalDeadlineNanos();
    for (Attempt a : q.live()) {
      at = Math.min(at, times.nextCheck(q, a, fx.now()));
    }
    fx.timer(TIMER, q.request.id().value(), Math.max(at, fx.now() + 1));
  }

  // ---- ends ----

  /** Cancels all attempts, which other nodes may have reclaimed, and starts afresh. */
  void fence() {
    settledNanos = fx.now() + SETTLE_NANOS;
    for (EntryRequest q : requests.all()) {
      for (Attempt a : q.live()) {
        driver.cancel(a, Outcome.CANCELLED, false);
      }
      q.current = null;
      q.hedge = null;
      fx.explain(q.request.id(), "fenced", "this node was paused");
      boolean late = q.tokensSent == 0 && fx.now() >= q.request.firstTokenDeadlineNanos();
      if (late) {
        refuse(q, ErrorCode.DEADLINE_EXCEEDED, "the node was paused", LATER);
      } else if (!q.waitsForPermission) {
        begin(q);
      }
    }
  }

  /** Replaces the asks that were made before a pause, so that old grants are not used. */
  void askAfresh() {
    settledNanos = fx.now() + SETTLE_NANOS;
    for (EntryRequest q : requests.all()) {
      Attempt a = q.current;
      if (a != null && !a.granted() && a.inherited == null) {
        driver.cancel(a, Outcome.CANCELLED, false);
        q.current = null;
        begin(q);
      }
    }
  }

  private void refuse(EntryRequest q, ErrorCode code, String detail, Duration retryAfter) {
    fx.explain(q.request.id(), "refused_" + code.wireName(), detail);
    fx.emit(new RoutingCommand.Refuse(q.request.id(), code, detail, retryAfter));
    close(q, Outcome.CANCELLED);
  }

  private void close(EntryRequest q, Outcome outcome) {
    for (Attempt a : q.live()) {
      driver.cancel(a, outcome, false);
    }
    q.current = null;
    q.hedge = null;
    requests.remove(q.request.id());
    fx.emit(new RoutingCommand.CancelTimer(new TimerKey(TIMER, q.request.id().value())));
  }
}
