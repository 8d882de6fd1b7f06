package org.mustardlatch.core.routing;

import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.balancing.RepeatBudget;
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
import org.mustardlatch.core.quarantine.CrashEvidence;
import org.mustardlatch.core.quarantine.CrashEvidence.Standing;
import org.mustardlatch.core.routing.RequestTable.Found;

/** The requests of this node's callers, from arrival to the one final answer. */
final class EntrySide implements AttemptStarter.Ends {
  static final String TIMER = "request";

  /** KV caches with less time left than this are not given to another decode engine. */
  private static final long MIN_KV_LIFE_NANOS = 150_000_000;

  // All nodes together stay within some tens of extra attempts when each spends what it saved.
  private static final double FLEET_RETRY_UNITS = 48;
  private static final int LEAST_NODES = 8;
  private static final double MAX_RETRY_UNITS = FLEET_RETRY_UNITS / LEAST_NODES;
  private static final double RETRY_UNITS = 4;

  private static final int MAX_RESERVATION_REFUSALS = 6;
  static final int MAX_ATTEMPTS = 8;
  static final Duration LATER = Duration.ofSeconds(1);

  private final Effects fx;
  private final NodeSettings settings;
  private final CrashEvidence evidence;
  private final CrashEvidenceCoordinator evidenceSide;
  private final LeavingUpstreams leaving;
  private final RegionId region;
  private final RetrySpread spread;
  private final CellChooser chooser;
  private final AttemptDriver driver;
  private final AttemptTimes times;
  private final AttemptStarter starter;
  private final RepeatBudget retries = new RepeatBudget(RETRY_UNITS, MAX_RETRY_UNITS);
  private final RepeatBudget hedges = new RepeatBudget(1, 5);
  private final Crossing crossing;
  private final RequestTable requests = new RequestTable();
  private Topology topology;
  private boolean draining;

  EntrySide(
      CellAdmission.Environment env,
      CrashEvidenceCoordinator evidenceSide,
      LeavingUpstreams leaving,
      RegionId region,
      Topology topology) {
    this.fx = env.commands();
    this.settings = env.settings();
    this.evidence = env.evidence();
    this.evidenceSide = evidenceSide;
    this.leaving = leaving;
    this.region = region;
    this.times = new AttemptTimes(settings, region);
    this.spread = new RetrySpread(env.random());
    this.chooser = new CellChooser(region, env.random());
    this.crossing = new Crossing(fx, settings, chooser);
    this.topology = topology;
    this.driver = new AttemptDriver(fx, region, topology);
    this.starter = new AttemptStarter(env, evidenceSide, chooser, crossing, driver, region, this);
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
    starter.topologyChanged(next);
    chooser.keep(next);
    // Below one unit nothing could ever be repeated.
    retries.limit(Math.max(1, FLEET_RETRY_UNITS / Math.max(LEAST_NODES, next.memberCount())));
    Manifest manifest = settings.manifest();
    if (manifest != null) {
      crossing.configure(manifest.link(), next.memberCountIn(region));
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
      starter.begin(q);
    }
  }

  void callerGone(RequestId id) {
    EntryRequest q = requests.get(id);
    if (q != null) {
      fx.explain(id, "caller_gone", "cancelled in " + q.stage());
      close(q, Outcome.CANCELLED);
    }
  }

  // ---- answers of admitting nodes ----

  /** Withdraws the ask of an attempt that is not needed because the other one was granted. */
  private void keepOnly(EntryRequest q, Attempt granted) {
    Attempt other = granted == q.current ? q.hedge : q.current;
    if (other != null && !other.granted()) {
      driver.cancel(other, Outcome.CANCELLED, false);
      q.current = granted;
      q.hedge = null;
    }
    q.crossingCost = 0;
  }

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
    driver.answered(a);
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
    keepOnly(q, a);
    replaceLate(q, a);
    driver.start(q, a, from, grant);
    arm(q);
  }

  void queued(HostId from, ReserveQueued answer) {
    chooser.learn(answer.summary(), fx.now());
    if (requests.find(answer.attempt()) instanceof Found(EntryRequest q, Attempt a)
        && !a.granted()) {
      driver.answered(a);
      a.progressNanos = fx.now();
      if (a.state != Attempt.State.QUEUED) {
        a.enter(Attempt.State.QUEUED, fx.now());
        fx.explain(q.request.id(), "queued", "at " + from);
        starter.askRemoteToo(q, a, answer.predictedWaitNanos());
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
    driver.answered(a);
    Duration after = Duration.ofNanos(answer.retryAfterNanos());
    if (!a.cell.region().equals(region)) {
      crossing.refused(q);
    }
    if (a == q.hedge) {
      q.hedge = null;
      return;
    }
    q.current = q.hedge;
    q.hedge = null;
    if (q.current != null) {
      q.refusedCells.add(a.cell.name());
      return;
    }
    if (answer.code() == ErrorCode.REQUEST_QUARANTINED) {
      starter.quarantined(q);
      return;
    }
    fx.explain(q.request.id(), "cell_refused", refusal(a, answer));
    if (a.inherited != null) {
      fx.emit(new RoutingCommand.ReleaseKv(a.inherited));
      retry(q, Failure.KV_EXPIRED);
      return;
    }
    starter.cellRefused(q, a.cell.name(), answer.code(), after);
  }

  private static String refusal(Attempt a, ReserveRefused answer) {
    CellSummary s = answer.summary();
    return a.cell.name()
        + " "
        + answer.code().wireName()
        + " predicted_wait_ms="
        + s.predictedWaitNanos() / 1_000_000
        + " free_slots="
        + s.freeSlots();
  }

  // ---- events of upstreams ----

  void engineReserved(AttemptId id) {
    if (requests.find(id) instanceof Found(EntryRequest q, Attempt a)
        && a.state == Attempt.State.RESERVING) {
      driver.startPrefill(a);
      arm(q);
    }
  }

  void engineNotReserved(AttemptId id, Failure failure) {
    if (requests.find(id) instanceof Found(EntryRequest q, Attempt a)
        && a.state == Attempt.State.RESERVING) {
      failed(q, a, a.decode, failure);
    }
  }

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
      DecodeWatch.begin(q, a, fx.now());
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
    String detail =
        "attempt " + a.id.number() + " on " + a.decode + ", " + q.tokensSent + " tokens";
    fx.explain(q.request.id(), "completed", detail);
    if (q.suspectRun || evidence.standing(q.request.fingerprint(), fx.now()) == Standing.SUSPECT) {
      evidenceSide.clearSuspect(q.request.fingerprint());
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
    boolean ran = a.state.compareTo(Attempt.State.TRANSFER) >= 0 && !FailureRules.notRun(failure);
    q.runs += ran ? 1 : 0;
    KvHandle handle = a.state == Attempt.State.TRANSFER ? a.handle : null;
    boolean reuse =
        handle != null
            && (!ran || q.mayRunAgain())
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
    } else if (reuse && handle != null && retries.take()) {
      fx.explain(q.request.id(), "decode_reassigned", "KV cache of " + handle.source());
      starter.launch(q, a.cell, handle);
    } else if (a.state == Attempt.State.RESERVING) {
      reserveElsewhere(q);
    } else if (ran && !q.mayRunAgain()) {
      fx.explain(q.request.id(), "not_repeatable", "runs=" + q.runs);
      refuse(q, ErrorCode.UPSTREAM_FAILED, "upstream failed: " + failure, Duration.ZERO);
    } else {
      if (reuse && handle != null) {
        fx.emit(new RoutingCommand.ReleaseKv(handle));
      }
      retry(q, failure);
    }
  }

  /** Goes on after an engine had no room. Nothing was spent, so the retry budget is not touched. */
  private void reserveElsewhere(EntryRequest q) {
    q.reservationRefusals++;
    if (q.reservationRefusals <= MAX_RESERVATION_REFUSALS) {
      starter.begin(q);
    } else {
      refuse(q, ErrorCode.OVERLOADED, "no engine has room", spread.draw(2, 1));
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
      evidenceSide.engineCrashed(upstream, List.of(q.request.fingerprint()));
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
      starter.begin(q);
    }
  }

  void permission(RunPermission answer) {
    EntryRequest q = requests.byName(answer.attempt());
    if (q != null) {
      starter.permission(q, answer.verdict());
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
        starter.askPermission(q);
      }
      return;
    }
    if (q.current == null) {
      starter.begin(q);
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
      case RESERVING -> {
        if (now - a.sinceNanos >= AttemptTimes.RESERVE_TIMEOUT_NANOS) {
          failed(q, a, a.decode, Failure.STALLED);
        }
      }
      case PREFILL -> checkPrefill(q, a);
      case TRANSFER -> {
        KvHandle h = a.handle;
        if (h != null && q.mayRunAgain() && now >= AttemptTimes.transferLimit(a, h)) {
          failed(q, a, a.decode, Failure.STALLED);
        }
      }
      case DECODE -> {
        switch (DecodeWatch.look(q, a, now)) {
          case FINE -> {}
          case RENEW -> driver.renew(q, a, Stage.DECODE);
          case STALLED -> {
            // Silence is no proof that the engine stopped; only work that may be repeated moves on.
            if (q.mayRunAgain()) {
              failed(q, a, a.decode, Failure.STALLED);
            }
          }
        }
      }
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
    starter.cellRefused(q, a.cell.name(), ErrorCode.UPSTREAM_UNAVAILABLE, LATER);
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
    } else if (!a.extended && now >= times.lateAt(a)) {
      a.extended = true;
      driver.renew(q, a, Stage.PREFILL);
      boolean inTime = now + a.predictedNanos() < q.request.firstTokenDeadlineNanos();
      if (a == q.current && q.hedge == null && q.tokensSent == 0 && inTime) {
        if (settings.policyParameters().hedgingAllowed()) {
          hedge(q, a);
        } else {
          move(q, a);
        }
      }
    }
  }

  /** Asks for another prefill engine; the late prefill is cancelled when one is granted. */
  private void move(EntryRequest q, Attempt a) {
    if (!q.hedged && a.prefill != null && retries.take()) {
      askElsewhere(q, a, "late_prefill_elsewhere");
    }
  }

  /** Starts a second attempt for a late prefill when another engine can still be in time. */
  private void hedge(EntryRequest q, Attempt a) {
    if (!q.hedged && a.prefill != null && hedges.take()) {
      askElsewhere(q, a, "hedged");
    }
  }

  private void askElsewhere(EntryRequest q, Attempt late, String rule) {
    q.hedged = true;
    if (late.prefill != null) {
      q.excluded.add(late.prefill);
    }
    Attempt h = new Attempt(q.nextAttempt(), late.cell, null);
    h.enter(Attempt.State.ASKING, fx.now());
    if (driver.askNext(q, h)) {
      fx.explain(q.request.id(), rule, "prefill on " + late.prefill + " is late");
      q.hedge = h;
    }
  }

  /** Gives up a late prefill for one elsewhere, which wastes less than running it twice. */
  private void replaceLate(EntryRequest q, Attempt granted) {
    Attempt late = q.current;
    if (granted == q.hedge && late != null && !settings.policyParameters().hedgingAllowed()) {
      fx.explain(q.request.id(), "late_prefill_moved", "from " + late.prefill);
      driver.cancel(late, Outcome.CANCELLED, false);
      q.current = granted;
      q.hedge = null;
    }
  }

  @Override
  public void arm(EntryRequest q) {
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
    starter.settle();
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
        starter.begin(q);
      }
    }
  }

  /** Replaces the asks that were made before a pause, so that old grants are not used. */
  void askAfresh() {
    starter.settle();
    for (EntryRequest q : requests.all()) {
      for (Attempt a : q.live()) {
        if (!a.granted() && a.inherited == null) {
          driver.cancel(a, Outcome.CANCELLED, false);
          q.drop(a);
        }
      }
      if (q.live().isEmpty() && !q.waitsForPermission) {
        starter.begin(q);
      }
    }
  }

  @Override
  public void refuse(EntryRequest q, ErrorCode code, String detail, Duration retryAfter) {
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
