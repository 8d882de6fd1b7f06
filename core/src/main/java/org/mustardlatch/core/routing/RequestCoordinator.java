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
import org.mustardlatch.core.routing.RequestTable.LiveAttempt;

/** The requests of this node's callers, from arrival to the one final answer. */
final class RequestCoordinator implements AttemptStarter.RequestCallbacks {
  static final String TIMER_KIND = "request";

  /** KV caches with less time left than this are not given to another decode engine. */
  private static final long MIN_KV_TIME_LEFT_NANOS = 150_000_000;

  // All nodes together stay within some tens of extra attempts when each spends what it saved.
  private static final double FLEET_RETRY_BUDGET = 48;
  private static final int MIN_NODES_SHARING_BUDGET = 8;
  private static final double MAX_NODE_RETRY_BUDGET = FLEET_RETRY_BUDGET / MIN_NODES_SHARING_BUDGET;
  private static final double INITIAL_RETRY_BUDGET = 4;

  private static final int MAX_ENGINE_REFUSALS = 6;
  static final int MAX_ATTEMPTS = 8;
  static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

  private final CommandCollector commands;
  private final NodeSettings settings;
  private final CrashEvidence evidence;
  private final EvidenceSide evidenceCoordinator;
  private final LeavingUpstreams leavingUpstreams;
  private final RegionId region;
  private final RetryAfterJitter retryAfterJitter;
  private final CellChooser chooser;
  private final AttemptDriver driver;
  private final AttemptDeadlines deadlines;
  private final AttemptStarter starter;
  private final RepeatBudget retryBudget = new RepeatBudget(INITIAL_RETRY_BUDGET, MAX_NODE_RETRY_BUDGET);
  private final RepeatBudget hedgeBudget = new RepeatBudget(1, 5);
  private final CrossRegionPolicy crossRegionPolicy;
  private final RequestTable requests = new RequestTable();
  private Topology topology;
  private boolean draining;

  RequestCoordinator(
      CellAdmission.Environment env,
      EvidenceSide evidenceSide,
      LeavingUpstreams leaving,
      RegionId region,
      Topology topology) {
    this.commands = env.effects();
    this.settings = env.settings();
    this.evidence = env.evidence();
    this.evidenceCoordinator = evidenceSide;
    this.leavingUpstreams = leaving;
    this.region = region;
    this.deadlines = new AttemptDeadlines(settings, region);
    this.retryAfterJitter = new RetryAfterJitter(env.random());
    this.chooser = new CellChooser(region, env.random());
    this.crossRegionPolicy = new CrossRegionPolicy(commands, settings, chooser);
    this.topology = topology;
    this.driver = new AttemptDriver(commands, region, topology);
    this.starter = new AttemptStarter(env, evidenceSide, chooser, crossRegionPolicy, driver, region, this);
  }

  int requestCount() {
    return requests.size();
  }

  boolean hasLiveAttempt(String attempt) {
    return requests.hasLiveAttempt(attempt);
  }

  void startDraining() {
    draining = true;
  }

  void topologyChanged(Topology next) {
    topology = next;
    driver.topologyChanged(next);
    starter.topologyChanged(next);
    chooser.retainCells(next);
    // Below one unit nothing could ever be repeated.
    retryBudget.limit(Math.max(1, FLEET_RETRY_BUDGET / Math.max(MIN_NODES_SHARING_BUDGET, next.memberCount())));
    Manifest manifest = settings.manifest();
    if (manifest != null) {
      crossRegionPolicy.configure(manifest.link(), next.membersIn(region));
    }
    for (EntryRequest q : requests.snapshot()) {
      for (Attempt a : q.liveAttempts()) {
        driver.updateAdmittingNode(q, a);
      }
      updateTimer(q);
    }
  }

  void requestArrived(GenerationRequest request) {
    EntryRequest q = requests.add(request, commands.now());
    if (q == null) {
      return;
    }
    Model model = topology.model(request.model());
    if (draining) {
      refuse(q, ErrorCode.DRAINING, "this node is draining; the request did not run", DEFAULT_RETRY_AFTER);
    } else if (settings.manifest() == null) {
      refuse(q, ErrorCode.NOT_READY, "no manifest is in force yet", DEFAULT_RETRY_AFTER);
    } else if (model == null) {
      refuse(q, ErrorCode.UNKNOWN_MODEL, "no model " + request.model(), Duration.ZERO);
    } else if (request.promptTokens() > model.maxPromptTokens()) {
      String detail =
          "prompt has " + request.promptTokens() + " tokens, at most " + model.maxPromptTokens();
      refuse(q, ErrorCode.PROMPT_TOO_LONG, detail, Duration.ZERO);
    } else {
      retryBudget.earn(settings.limits().retryBudgetFraction());
      hedgeBudget.earn(settings.limits().hedgeBudgetFraction());
      starter.startAttempt(q);
    }
  }

  void callerDisconnected(RequestId id) {
    EntryRequest q = requests.get(id);
    if (q != null) {
      commands.explain(id, "caller_gone", "cancelled in " + q.stageName());
      closeRequest(q, Outcome.CANCELLED);
    }
  }

  // ---- answers of admitting nodes ----

  /** Withdraws the ask of an attempt that is not needed because the other one was granted. */
  private void cancelOtherReservationRequest(EntryRequest q, Attempt granted) {
    Attempt other = granted == q.current ? q.hedge : q.current;
    if (other != null && !other.isGranted()) {
      driver.cancel(other, Outcome.CANCELLED, false);
      q.current = granted;
      q.hedge = null;
    }
    q.acquiredCrossRegionBytes = 0;
  }

  void recordSummary(CellSummary summary) {
    chooser.recordSummary(summary, commands.now());
  }

  void reservationGranted(HostId from, ReserveGranted grant) {
    chooser.recordSummary(grant.summary(), commands.now());
    if (!(requests.findLiveAttempt(grant.attempt()) instanceof LiveAttempt(EntryRequest q, Attempt a))) {
      driver.declineGrant(from, grant);
      return;
    }
    if (a.isGranted()) {
      if (!from.equals(a.admittingNode)) {
        driver.declineGrant(from, grant);
      }
      return;
    }
    driver.recordResponse(a);
    boolean prefillLeaves = a.inheritedKv == null && leavingUpstreams.contains(grant.prefill(), commands.now());
    if (prefillLeaves || leavingUpstreams.contains(grant.decode(), commands.now())) {
      q.excludedUpstreams.add(prefillLeaves ? grant.prefill() : grant.decode());
      commands.explain(q.request.id(), "leaving_upstream", "declined a grant on " + grant.decode());
      driver.declineGrant(from, grant);
      driver.repeatReservationRequest(q, a);
      return;
    }
    String detail = "cell=" + a.cell.name() + " prefill=" + grant.prefill();
    commands.explain(q.request.id(), "reserved", detail + " decode=" + grant.decode());
    q.refusedCells.clear();
    cancelOtherReservationRequest(q, a);
    cancelLatePrefill(q, a);
    driver.startGranted(q, a, from, grant);
    updateTimer(q);
  }

  void reservationQueued(HostId from, ReserveQueued answer) {
    chooser.recordSummary(answer.summary(), commands.now());
    if (requests.findLiveAttempt(answer.attempt()) instanceof LiveAttempt(EntryRequest q, Attempt a)
        && !a.isGranted()) {
      driver.recordResponse(a);
      a.lastProgressNanos = commands.now();
      if (a.state != Attempt.State.QUEUED) {
        a.enterState(Attempt.State.QUEUED, commands.now());
        commands.explain(q.request.id(), "queued", "at " + from);
        starter.requestRemoteHedge(q, a, answer.predictedWaitNanos());
      }
      updateTimer(q);
    }
  }

  void reservationRefused(ReserveRefused answer) {
    chooser.recordSummary(answer.summary(), commands.now());
    if (!(requests.findLiveAttempt(answer.attempt()) instanceof LiveAttempt(EntryRequest q, Attempt a))
        || a.isGranted()) {
      return;
    }
    driver.recordResponse(a);
    Duration after = Duration.ofNanos(answer.retryAfterNanos());
    if (!a.cell.region().equals(region)) {
      crossRegionPolicy.releaseBudget(q);
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
      starter.refuseQuarantined(q);
      return;
    }
    commands.explain(q.request.id(), "cell_refused", refusalDetail(a, answer));
    if (a.inheritedKv != null) {
      commands.emit(new RoutingCommand.ReleaseKv(a.inheritedKv));
      retry(q, Failure.KV_EXPIRED);
      return;
    }
    starter.handleCellRefusal(q, a.cell.name(), answer.code(), after);
  }

  private static String refusalDetail(Attempt a, ReserveRefused answer) {
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
    if (requests.findLiveAttempt(id) instanceof LiveAttempt(EntryRequest q, Attempt a)
        && a.state == Attempt.State.RESERVING) {
      driver.startPrefill(a);
      updateTimer(q);
    }
  }

  void engineReservationFailed(AttemptId id, Failure failure) {
    if (requests.findLiveAttempt(id) instanceof LiveAttempt(EntryRequest q, Attempt a)
        && a.state == Attempt.State.RESERVING) {
      attemptFailed(q, a, a.decodeEngine, failure);
    }
  }

  void prefillFinished(AttemptId id, KvHandle handle) {
    if (!(requests.findLiveAttempt(id) instanceof LiveAttempt(EntryRequest q, Attempt a))
        || a.state != Attempt.State.PREFILL) {
      commands.emit(new RoutingCommand.ReleaseKv(handle));
      return;
    }
    cancelOtherAttempt(q, a);
    if (commands.now() > deadlines.firstTokenCutoffNanos(q, a)) {
      commands.emit(new RoutingCommand.ReleaseKv(handle));
      driver.releaseReservation(a, Outcome.CANCELLED);
      q.current = null;
      String detail = "prefill ended after the first-token deadline";
      commands.explain(q.request.id(), "prefill_late", detail);
      refuse(q, ErrorCode.DEADLINE_EXCEEDED, detail, DEFAULT_RETRY_AFTER);
      return;
    }
    if (commands.now() >= handle.expiresNanos()) {
      attemptFailed(q, a, a.prefillEngine, Failure.KV_EXPIRED);
      return;
    }
    driver.startDecode(q, a, handle);
    driver.renewReservation(q, a, Stage.TRANSFER);
    updateTimer(q);
  }

  /** Makes the attempt the only one; the first prefill to end wins over its hedge. */
  private void cancelOtherAttempt(EntryRequest q, Attempt winner) {
    Attempt other = winner == q.current ? q.hedge : q.current;
    if (other != null) {
      commands.explain(q.request.id(), "hedge_lost", "attempt " + other.id.number());
      driver.cancel(other, Outcome.CANCELLED, false);
    }
    q.current = winner;
    q.hedge = null;
  }

  void prefillFailed(AttemptId id, Failure failure) {
    if (requests.findLiveAttempt(id) instanceof LiveAttempt(EntryRequest q, Attempt a)
        && a.state == Attempt.State.PREFILL) {
      attemptFailed(q, a, a.prefillEngine, failure);
    }
  }

  void decodeStarted(AttemptId id) {
    if (requests.findLiveAttempt(id) instanceof LiveAttempt(EntryRequest q, Attempt a)
        && a.state == Attempt.State.TRANSFER) {
      a.enterState(Attempt.State.DECODE, commands.now());
      DecodeProgressMonitor.start(q, a, commands.now());
      driver.renewReservation(q, a, Stage.DECODE);
      updateTimer(q);
    }
  }

  void tokensArrived(AttemptId id, int count) {
    if (!(requests.findLiveAttempt(id) instanceof LiveAttempt(EntryRequest q, Attempt a))) {
      return;
    }
    if (a.state == Attempt.State.TRANSFER) {
      decodeStarted(id);
    }
    q.tokensSent += count;
    a.lastProgressNanos = commands.now();
  }

  void decodeFinished(AttemptId id) {
    if (requests.findLiveAttempt(id) instanceof LiveAttempt(EntryRequest q, Attempt a) && a.isGranted()) {
      complete(q, a);
    }
  }

  private void complete(EntryRequest q, Attempt a) {
    driver.releaseReservation(a, Outcome.FINISHED);
    cancelOtherAttempt(q, a);
    q.current = null;
    String detail =
        "attempt " + a.id.number() + " on " + a.decodeEngine + ", " + q.tokensSent + " tokens";
    commands.explain(q.request.id(), "completed", detail);
    if (q.ranAsSuspect || evidence.standing(q.request.fingerprint(), commands.now()) == Standing.SUSPECT) {
      evidenceCoordinator.cleared(q.request.fingerprint());
    }
    commands.emit(new RoutingCommand.Complete(q.request.id()));
    closeRequest(q, Outcome.FINISHED);
  }

  void decodeFailed(AttemptId id, Failure failure) {
    if (requests.findLiveAttempt(id) instanceof LiveAttempt(EntryRequest q, Attempt a)
        && a.isGranted()
        && a.state != Attempt.State.PREFILL) {
      if (q.remainingTokens() == 0) {
        complete(q, a);
      } else {
        attemptFailed(q, a, a.decodeEngine, failure);
      }
    }
  }

  /** Ends an attempt whose upstream failed and decides how the request goes on. */
  private void attemptFailed(EntryRequest q, Attempt a, @Nullable UpstreamId upstream, Failure failure) {
    commands.explain(q.request.id(), "attempt_failed", failure + " on " + upstream + " in " + a.state);
    if (upstream != null && failure != Failure.KV_EXPIRED) {
      q.excludedUpstreams.add(upstream);
    }
    boolean ran = a.state.compareTo(Attempt.State.TRANSFER) >= 0 && !FailureRules.neverStarted(failure);
    q.generationRuns += ran ? 1 : 0;
    KvHandle handle = a.state == Attempt.State.TRANSFER ? a.kvHandle : null;
    boolean reuse =
        handle != null
            && (!ran || q.mayGenerateAgain())
            && failure != Failure.KV_EXPIRED
            && handle.expiresNanos() - commands.now() >= MIN_KV_TIME_LEFT_NANOS
            && q.attemptCount() < MAX_ATTEMPTS;
    if (FailureRules.mayStillRun(failure)) {
      driver.cancel(a, Outcome.FAILED, reuse);
    } else {
      if (handle != null && !reuse) {
        commands.emit(new RoutingCommand.ReleaseKv(handle));
      }
      driver.releaseReservation(a, FailureRules.reservationOutcome(failure));
    }
    reportCrash(q, a, upstream, failure);
    if (a == q.hedge) {
      q.hedge = null;
      return;
    }
    q.current = q.hedge;
    q.hedge = null;
    if (q.current != null) {
      updateTimer(q);
    } else if (reuse && handle != null && retryBudget.take()) {
      commands.explain(q.request.id(), "decode_reassigned", "KV cache of " + handle.source());
      starter.requestReservation(q, a.cell, handle);
    } else if (a.state == Attempt.State.RESERVING) {
      retryReservation(q);
    } else if (ran && !q.mayGenerateAgain()) {
      commands.explain(q.request.id(), "not_repeatable", "runs=" + q.generationRuns);
      refuse(q, ErrorCode.UPSTREAM_FAILED, "upstream failed: " + failure, Duration.ZERO);
    } else {
      if (reuse && handle != null) {
        commands.emit(new RoutingCommand.ReleaseKv(handle));
      }
      retry(q, failure);
    }
  }

  /** Goes on after an engine had no room. Nothing was spent, so the retry budget is not touched. */
  private void retryReservation(EntryRequest q) {
    q.engineRefusals++;
    if (q.engineRefusals <= MAX_ENGINE_REFUSALS) {
      starter.startAttempt(q);
    } else {
      refuse(q, ErrorCode.OVERLOADED, "no engine has room", retryAfterJitter.drawRetryAfter(2, 1));
    }
  }

  private void reportCrash(
      EntryRequest q, Attempt a, @Nullable UpstreamId upstream, Failure failure) {
    if (failure != Failure.CRASHED) {
      return;
    }
    q.suspectRunPermitted = false;
    boolean admitterAlive = a.admittingNode != null && topology.member(a.admittingNode) != null;
    if (upstream != null && !admitterAlive) {
      evidenceCoordinator.crashed(upstream, List.of(q.request.fingerprint()));
    }
  }

  private void retry(EntryRequest q, Failure failure) {
    long now = commands.now();
    boolean inTime =
        q.tokensSent > 0
            ? now < q.request.finalDeadlineNanos()
            : now < q.request.firstTokenDeadlineNanos();
    if (!inTime) {
      refuse(q, ErrorCode.DEADLINE_EXCEEDED, "failed too late to retry: " + failure, DEFAULT_RETRY_AFTER);
    } else if (q.attemptCount() >= MAX_ATTEMPTS || !retryBudget.take()) {
      commands.explain(q.request.id(), "retry_budget", "attempts=" + q.attemptCount());
      Duration after = retryAfterJitter.drawRetryAfter(2, 1);
      refuse(q, ErrorCode.UPSTREAM_FAILED, "upstream failed: " + failure, after);
    } else {
      String rule = q.tokensSent > 0 ? "continued" : "retried";
      commands.explain(q.request.id(), rule, "after " + failure + ", tokens=" + q.tokensSent);
      starter.startAttempt(q);
    }
  }

  void permissionReceived(RunPermission answer) {
    EntryRequest q = requests.findByIdText(answer.attempt());
    if (q != null) {
      starter.handleVerdict(q, answer.verdict());
    }
  }

  // ---- time ----

  void timerFired(String subject) {
    EntryRequest q = requests.findByIdText(subject);
    if (q != null) {
      check(q);
    }
  }

  private void check(EntryRequest q) {
    long now = commands.now();
    if (now >= q.request.finalDeadlineNanos()) {
      refuse(q, ErrorCode.DEADLINE_EXCEEDED, "the final deadline passed", Duration.ZERO);
      return;
    }
    if (q.awaitsPermission) {
      if (q.tokensSent == 0 && now >= q.request.firstTokenDeadlineNanos()) {
        refuse(q, ErrorCode.OVERLOADED, "the same request is being examined", DEFAULT_RETRY_AFTER);
      } else {
        starter.requestPermission(q);
      }
      return;
    }
    if (q.current == null) {
      starter.startAttempt(q);
      return;
    }
    for (Attempt a : q.liveAttempts()) {
      if (q.findLiveAttempt(a.id) == a) {
        check(q, a);
      }
    }
    if (requests.get(q.request.id()) == q) {
      updateTimer(q);
    }
  }

  private void check(EntryRequest q, Attempt a) {
    long now = commands.now();
    switch (a.state) {
      case ASKING -> {
        if (now - a.lastReservationRequestNanos >= deadlines.responseTimeoutNanos(a)) {
          contactNextNode(q, a);
        }
      }
      case QUEUED -> checkQueued(q, a);
      case RESERVING -> {
        if (now - a.stateSinceNanos >= AttemptDeadlines.ENGINE_RESERVE_TIMEOUT_NANOS) {
          attemptFailed(q, a, a.decodeEngine, Failure.STALLED);
        }
      }
      case PREFILL -> checkPrefill(q, a);
      case TRANSFER -> {
        KvHandle h = a.kvHandle;
        if (h != null && q.mayGenerateAgain() && now >= AttemptDeadlines.transferDeadlineNanos(a, h)) {
          attemptFailed(q, a, a.decodeEngine, Failure.STALLED);
        }
      }
      case DECODE -> {
        switch (DecodeProgressMonitor.assess(q, a, now)) {
          case ON_TRACK -> {}
          case RENEWAL_DUE -> driver.renewReservation(q, a, Stage.DECODE);
          case STALLED -> {
            // Silence is no proof that the engine stopped; only work that may be repeated moves on.
            if (q.mayGenerateAgain()) {
              attemptFailed(q, a, a.decodeEngine, Failure.STALLED);
            }
          }
        }
      }
    }
  }

  private void contactNextNode(EntryRequest q, Attempt a) {
    if (driver.contactNextNode(q, a)) {
      a.enterState(Attempt.State.ASKING, commands.now());
      return;
    }
    driver.cancel(a, Outcome.CANCELLED, false);
    if (a == q.hedge) {
      q.hedge = null;
      return;
    }
    q.current = null;
    commands.explain(q.request.id(), "no_admitting_node", "cell=" + a.cell.name());
    starter.handleCellRefusal(q, a.cell.name(), ErrorCode.UPSTREAM_UNAVAILABLE, DEFAULT_RETRY_AFTER);
  }

  private void checkQueued(EntryRequest q, Attempt a) {
    long now = commands.now();
    if (q.tokensSent == 0 && now >= q.request.firstTokenDeadlineNanos()) {
      commands.explain(q.request.id(), "queue_too_long", "first-token deadline passed in the queue");
      Duration after = retryAfterJitter.drawRetryAfter(now - q.arrivedNanos, now - q.arrivedNanos);
      refuse(q, ErrorCode.OVERLOADED, "no engine became free in time", after);
    } else if (a.lastReservationRequestNanos > a.lastProgressNanos && now - a.lastReservationRequestNanos >= deadlines.responseTimeoutNanos(a)) {
      contactNextNode(q, a);
    } else if (now - a.lastReservationRequestNanos >= AttemptDeadlines.QUEUE_CHECK_INTERVAL_NANOS) {
      driver.repeatReservationRequest(q, a);
    }
  }

  private void checkPrefill(EntryRequest q, Attempt a) {
    long now = commands.now();
    if (now > deadlines.firstTokenCutoffNanos(q, a)) {
      commands.explain(q.request.id(), "prefill_late", "cancelled before decode");
      refuse(q, ErrorCode.DEADLINE_EXCEEDED, "prefill took too long", DEFAULT_RETRY_AFTER);
    } else if (!a.renewedInStage && now >= deadlines.latePrefillNanos(a)) {
      a.renewedInStage = true;
      driver.renewReservation(q, a, Stage.PREFILL);
      boolean inTime = now + a.predictedFirstTokenNanos() < q.request.firstTokenDeadlineNanos();
      if (a == q.current && q.hedge == null && q.tokensSent == 0 && inTime) {
        if (settings.tuning().hedges()) {
          hedgePrefill(q, a);
        } else {
          movePrefill(q, a);
        }
      }
    }
  }

  /** Asks for another prefill engine; the late prefill is cancelled when one is granted. */
  private void movePrefill(EntryRequest q, Attempt a) {
    if (!q.secondPrefillRequested && a.prefillEngine != null && retryBudget.take()) {
      requestSecondPrefill(q, a, "late_prefill_elsewhere");
    }
  }

  /** Starts a second attempt for a late prefill when another engine can still be in time. */
  private void hedgePrefill(EntryRequest q, Attempt a) {
    if (!q.secondPrefillRequested && a.prefillEngine != null && hedgeBudget.take()) {
      requestSecondPrefill(q, a, "hedged");
    }
  }

  private void requestSecondPrefill(EntryRequest q, Attempt late, String rule) {
    q.secondPrefillRequested = true;
    if (late.prefillEngine != null) {
      q.excludedUpstreams.add(late.prefillEngine);
    }
    Attempt h = new Attempt(q.nextAttempt(), late.cell, null);
    h.enterState(Attempt.State.ASKING, commands.now());
    if (driver.contactNextNode(q, h)) {
      commands.explain(q.request.id(), rule, "prefill on " + late.prefillEngine + " is late");
      q.hedge = h;
    }
  }

  /** Gives up a late prefill for one elsewhere, which wastes less than running it twice. */
  private void cancelLatePrefill(EntryRequest q, Attempt granted) {
    Attempt late = q.current;
    if (granted == q.hedge && late != null && !settings.tuning().hedges()) {
      commands.explain(q.request.id(), "late_prefill_moved", "from " + late.prefillEngine);
      driver.cancel(late, Outcome.CANCELLED, false);
      q.current = granted;
      q.hedge = null;
    }
  }

  @Override
  public void updateTimer(EntryRequest q) {
    if (q.liveAttempts().isEmpty()) {
      // It waits for a permission or for the end of a pause, which set their own timer.
      return;
    }
    long at = q.request.finalDeadlineNanos();
    for (Attempt a : q.liveAttempts()) {
      at = Math.min(at, deadlines.nextCheckNanos(q, a, commands.now()));
    }
    commands.setTimer(TIMER_KIND, q.request.id().value(), Math.max(at, commands.now() + 1));
  }

  // ---- ends ----

  /** Cancels all attempts, which other nodes may have reclaimed, and starts afresh. */
  void restartAfterLongPause() {
    starter.delayNewAttempts();
    for (EntryRequest q : requests.snapshot()) {
      for (Attempt a : q.liveAttempts()) {
        driver.cancel(a, Outcome.CANCELLED, false);
      }
      q.current = null;
      q.hedge = null;
      commands.explain(q.request.id(), "fenced", "this node was paused");
      boolean late = q.tokensSent == 0 && commands.now() >= q.request.firstTokenDeadlineNanos();
      if (late) {
        refuse(q, ErrorCode.DEADLINE_EXCEEDED, "the node was paused", DEFAULT_RETRY_AFTER);
      } else if (!q.awaitsPermission) {
        starter.startAttempt(q);
      }
    }
  }

  /** Replaces the asks that were made before a pause, so that old grants are not used. */
  void restartAfterShortPause() {
    starter.delayNewAttempts();
    for (EntryRequest q : requests.snapshot()) {
      for (Attempt a : q.liveAttempts()) {
        if (!a.isGranted() && a.inheritedKv == null) {
          driver.cancel(a, Outcome.CANCELLED, false);
          q.removeAttempt(a);
        }
      }
      if (q.liveAttempts().isEmpty() && !q.awaitsPermission) {
        starter.startAttempt(q);
      }
    }
  }

  @Override
  public void refuse(EntryRequest q, ErrorCode code, String detail, Duration retryAfter) {
    commands.explain(q.request.id(), "refused_" + code.wireName(), detail);
    commands.emit(new RoutingCommand.Refuse(q.request.id(), code, detail, retryAfter));
    closeRequest(q, Outcome.CANCELLED);
  }

  private void closeRequest(EntryRequest q, Outcome outcome) {
    for (Attempt a : q.liveAttempts()) {
      driver.cancel(a, outcome, false);
    }
    q.current = null;
    q.hedge = null;
    requests.remove(q.request.id());
    commands.emit(new RoutingCommand.CancelTimer(new TimerKey(TIMER_KIND, q.request.id().value())));
  }
}
