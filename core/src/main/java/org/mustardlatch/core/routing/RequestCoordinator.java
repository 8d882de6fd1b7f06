package org.mustardlatch.core.routing;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.balancing.RetryBudget;
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
import org.mustardlatch.core.routing.RequestTable.LiveAttempt;

/**
 * Coordinates the requests of this node's callers, from arrival to the single final response.
 * {@link NodeRouter} passes it the responses of admitting nodes, events of upstream calls and
 * timers; it decides about retries, hedges and refusals. The methods below are in the order of
 * responses, upstream events, timers, and the ways in which requests end or restart.
 */
final class RequestCoordinator implements AttemptStarter.RequestCallbacks {
  static final String TIMER_KIND = "request";

  // Limits the fleet to some tens of extra attempts when all nodes spend their saved budgets.
  private static final double FLEET_RETRY_BUDGET = 48;
  private static final int MIN_NODES = 8;
  private static final double MAX_NODE_RETRY_BUDGET = FLEET_RETRY_BUDGET / MIN_NODES;
  private static final double INITIAL_RETRY_BUDGET = 4;

  private static final int MAX_ENGINE_REFUSALS = 6;
  static final int MAX_ATTEMPTS = 8;
  static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final CommandCollector commands;
  private final NodeSettings settings;
  private final RunOutcomes runOutcomes;
  private final RunPermissionClient permissionClient;
  private final UnavailableUpstreams unavailableUpstreams;
  private final RegionId region;
  private final RetryAfterJitter retryAfterJitter;
  private final CellChooser cellChooser;
  private final StreamOrigins origins;
  private final AttemptDriver driver;
  private final AttemptDeadlines deadlines;
  private final AttemptStarter starter;
  private final PauseRecovery pauseRecovery;
  private final StalledStreamMover stalledStreams;
  private final LatePrefillMover latePrefills;
  private final RetryBudget retryBudget =
      new RetryBudget(INITIAL_RETRY_BUDGET, MAX_NODE_RETRY_BUDGET);
  private final CrossRegionPolicy crossRegionPolicy;
  private final RequestTable requests = new RequestTable();
  private Topology topology;
  private boolean draining;

  RequestCoordinator(
      CellAdmission.Environment env,
      CrashEvidenceCoordinator evidenceCoordinator,
      PromptPartQuarantine promptParts,
      RunPermissionClient permissionClient,
      UnavailableUpstreams unavailableUpstreams,
      StreamOrigins origins,
      RegionId region,
      Topology topology) {
    this.commands = env.commands();
    this.settings = env.settings();
    this.runOutcomes = new RunOutcomes(env, evidenceCoordinator, promptParts);
    this.permissionClient = permissionClient;
    this.unavailableUpstreams = unavailableUpstreams;
    this.region = region;
    this.deadlines = new AttemptDeadlines(settings, region);
    this.retryAfterJitter = new RetryAfterJitter(env.random());
    this.cellChooser = new CellChooser(region, env.random());
    this.crossRegionPolicy = new CrossRegionPolicy(commands, settings, cellChooser);
    this.topology = topology;
    this.origins = origins;
    this.driver = new AttemptDriver(commands, region, origins, topology);
    this.stalledStreams = new StalledStreamMover(commands, driver);
    this.latePrefills = new LatePrefillMover(commands, settings, driver, retryBudget);
    this.starter =
        new AttemptStarter(
            env,
            promptParts,
            permissionClient,
            cellChooser,
            crossRegionPolicy,
            driver,
            region,
            this);
    this.pauseRecovery = new PauseRecovery(commands, requests, starter, driver, this);
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
    cellChooser.retainCells(next);
    // A budget limit below one unit would never permit a retry.
    retryBudget.setCapacity(
        Math.max(1, FLEET_RETRY_BUDGET / Math.max(MIN_NODES, next.memberCount())));
    Manifest manifest = settings.manifest();
    if (manifest != null) {
      crossRegionPolicy.configure(manifest.link(), next.memberCountIn(region));
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
      refuse(q, ErrorCode.DRAINING, "this node is draining; the request did not run", RETRY_AFTER);
    } else if (settings.manifest() == null) {
      refuse(q, ErrorCode.NOT_READY, "no manifest is in force yet", RETRY_AFTER);
    } else if (model == null) {
      refuse(q, ErrorCode.UNKNOWN_MODEL, "no model " + request.model(), Duration.ZERO);
    } else if (request.promptTokens() > model.maxPromptTokens()) {
      String detail =
          "prompt has " + request.promptTokens() + " tokens, at most " + model.maxPromptTokens();
      refuse(q, ErrorCode.PROMPT_TOO_LONG, detail, Duration.ZERO);
    } else {
      retryBudget.deposit(settings.limits().retryBudgetFraction());
      latePrefills.requestArrived();
      if (request.resumed()) {
        q.awaitsPeers = true;
        origins.find(request.id(), request.stream(), request.model(), origin -> resume(q, origin));
      } else {
        starter.startAttempt(q);
      }
    }
  }

  /** Starts an attempt to go on with a stream, if it is known at which software version. */
  private void resume(EntryRequest q, StreamOrigins.Origin origin) {
    q.awaitsPeers = false;
    switch (origin) {
      case StreamOrigins.Origin.Known o -> {
        q.engineVersion = o.engineVersion();
        commands.explain(q.request.id(), "resumed", "version=" + o.engineVersion());
        starter.startAttempt(q);
      }
      case StreamOrigins.Origin.Unknown o when o.severalVersions() -> {
        commands.explain(q.request.id(), "origin_unknown", "several versions have served");
        refuse(
            q,
            ErrorCode.UPSTREAM_UNAVAILABLE,
            "the software version that began the stream is not known",
            RETRY_AFTER);
      }
      case StreamOrigins.Origin.Unknown o -> {
        q.engineVersion = origins.onlyVersion(q.request.model());
        starter.startAttempt(q);
      }
    }
  }

  void callerDisconnected(RequestId id) {
    EntryRequest q = requests.get(id);
    if (q != null) {
      commands.explain(id, "caller_gone", "cancelled in " + q.stateName());
      closeRequest(q, Outcome.CANCELLED);
    }
  }

  /** Cancels the other attempt if it has no grant, and counts acquired remote bytes as spent. */
  private void cancelOtherReservationRequest(EntryRequest q, Attempt granted) {
    Attempt other = granted == q.current ? q.hedge : q.current;
    if (other != null && !other.granted()) {
      driver.cancel(other, Outcome.CANCELLED, false);
      q.current = granted;
      q.hedge = null;
    }
    q.acquiredCrossRegionBytes = 0;
  }

  void recordSummary(CellSummary summary) {
    cellChooser.recordSummary(summary, commands.now());
  }

  void reservationGranted(HostId from, ReserveGranted grant) {
    cellChooser.recordSummary(grant.summary(), commands.now());
    if (!(requests.find(grant.attempt()) instanceof LiveAttempt(EntryRequest q, Attempt a))) {
      driver.declineGrant(from, grant);
      return;
    }
    if (a.granted()) {
      if (!from.equals(a.admittingNode)) {
        driver.declineGrant(from, grant);
      }
      return;
    }
    driver.recordResponse(a);
    if (!mayGoOnAt(q, grant.decode())) {
      commands.explain(q.request.id(), "other_version", "declined a grant on " + grant.decode());
      driver.declineGrant(from, grant);
      q.removeAttempt(a);
      if (q.current == null) {
        starter.handleCellRefusal(q, a.cell.name(), ErrorCode.UPSTREAM_UNAVAILABLE, Duration.ZERO);
      }
      return;
    }
    boolean prefillLeaving = a.inheritedKv == null && isLeaving(grant.prefill());
    if (prefillLeaving || isLeaving(grant.decode())) {
      q.excluded.add(prefillLeaving ? grant.prefill() : grant.decode());
      commands.explain(q.request.id(), "leaving_upstream", "declined a grant on " + grant.decode());
      driver.declineGrant(from, grant);
      driver.repeatReservationRequest(q, a);
      return;
    }
    if (starter.refuseIfPartQuarantined(q)) {
      driver.declineGrant(from, grant);
      return;
    }
    if (StalledStreamMover.isReplacement(q, a)) {
      if (!stalledStreams.isUseful(q, a, grant.decode()) || !retryBudget.tryAcquire()) {
        driver.declineGrant(from, grant);
        stalledStreams.drop(q, "no other engine, retry budget or time for its KV cache");
        return;
      }
    }
    String detail = "cell=" + a.cell.name() + " prefill=" + grant.prefill();
    commands.explain(q.request.id(), "reserved", detail + " decode=" + grant.decode());
    q.refusedCells.clear();
    cancelOtherReservationRequest(q, a);
    latePrefills.granted(q, a);
    driver.startGranted(q, a, from, grant);
    updateTimer(q);
  }

  /** Returns whether the generation may go on at an engine, whatever its admitting node knows. */
  private boolean mayGoOnAt(EntryRequest q, UpstreamId decodeEngine) {
    return q.engineVersion == null
        || q.engineVersion.equals(topology.softwareVersion(decodeEngine));
  }

  /** Returns whether an engine is leaving, which the admitting node may not know yet. */
  private boolean isLeaving(UpstreamId engine) {
    return topology.isLeaving(engine) || unavailableUpstreams.contains(engine, commands.now());
  }

  void reservationQueued(HostId from, ReserveQueued response) {
    cellChooser.recordSummary(response.summary(), commands.now());
    if (requests.find(response.attempt()) instanceof LiveAttempt(EntryRequest q, Attempt a)
        && !a.granted()) {
      driver.recordResponse(a);
      a.lastProgressNanos = commands.now();
      if (a.state != Attempt.State.QUEUED) {
        a.enterState(Attempt.State.QUEUED, commands.now());
        commands.explain(q.request.id(), "queued", "at " + from);
        starter.requestRemoteHedge(q, a, response.predictedWaitNanos());
      }
      updateTimer(q);
    }
  }

  void reservationRefused(ReserveRefused response) {
    cellChooser.recordSummary(response.summary(), commands.now());
    if (!(requests.find(response.attempt()) instanceof LiveAttempt(EntryRequest q, Attempt a))
        || a.granted()) {
      return;
    }
    driver.recordResponse(a);
    Duration retryAfter = Duration.ofNanos(response.retryAfterNanos());
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
    if (response.code() == ErrorCode.REQUEST_QUARANTINED) {
      starter.refuseQuarantined(q);
      return;
    }
    commands.explain(q.request.id(), "cell_refused", refusalDetail(a, response));
    if (a.inheritedKv != null) {
      commands.emit(new RoutingCommand.ReleaseKv(a.inheritedKv));
      retry(q, Failure.KV_EXPIRED);
      return;
    }
    starter.handleCellRefusal(q, a.cell.name(), response.code(), retryAfter);
  }

  private static String refusalDetail(Attempt a, ReserveRefused response) {
    CellSummary s = response.summary();
    return a.cell.name()
        + " "
        + response.code().wireName()
        + " predicted_wait_ms="
        + s.predictedWaitNanos() / 1_000_000
        + " free_slots="
        + s.freeSlots();
  }

  void engineReserved(AttemptId id) {
    if (requests.find(id) instanceof LiveAttempt(EntryRequest q, Attempt a)
        && a.state == Attempt.State.RESERVING
        && !starter.refuseIfPartQuarantined(q)) {
      driver.startPrefill(a);
      updateTimer(q);
    }
  }

  void engineReservationFailed(AttemptId id, Failure failure) {
    if (requests.find(id) instanceof LiveAttempt(EntryRequest q, Attempt a)
        && a.state == Attempt.State.RESERVING) {
      attemptFailed(q, a, a.decodeEngine, failure);
    }
  }

  void prefillFinished(AttemptId id, KvHandle handle) {
    if (!(requests.find(id) instanceof LiveAttempt(EntryRequest q, Attempt a))
        || a.state != Attempt.State.PREFILL) {
      commands.emit(new RoutingCommand.ReleaseKv(handle));
      return;
    }
    if (starter.refuseIfPartQuarantined(q)) {
      commands.emit(new RoutingCommand.ReleaseKv(handle));
      return;
    }
    boolean late = commands.now() > deadlines.firstTokenCutoffNanos(q, a);
    if (StalledStreamMover.isReplacement(q, a)) {
      if (late || commands.now() >= handle.expiresNanos()) {
        commands.emit(new RoutingCommand.ReleaseKv(handle));
        stalledStreams.drop(q, "its prefill is late");
        return;
      }
    } else {
      cancelOtherAttempt(q, a);
    }
    if (late) {
      commands.emit(new RoutingCommand.ReleaseKv(handle));
      driver.releaseReservation(a, Outcome.CANCELLED);
      q.current = null;
      String detail = "prefill ended after the first-token deadline";
      commands.explain(q.request.id(), "prefill_late", detail);
      refuse(q, ErrorCode.DEADLINE_EXCEEDED, detail, RETRY_AFTER);
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

  /** Cancels the other attempt, if any; the first of two prefills to end is used. */
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
    if (requests.find(id) instanceof LiveAttempt(EntryRequest q, Attempt a)
        && a.state == Attempt.State.PREFILL) {
      attemptFailed(q, a, a.prefillEngine, failure);
    }
  }

  void decodeStarted(AttemptId id) {
    if (requests.find(id) instanceof LiveAttempt(EntryRequest q, Attempt a)
        && a.state == Attempt.State.TRANSFER) {
      if (StalledStreamMover.isReplacement(q, a)) {
        stalledStreams.takeOver(q, a);
      }
      driver.announceVersion(q, a);
      a.enterState(Attempt.State.DECODE, commands.now());
      q.engineRefusals = 0;
      stalledStreams.progressed(q, a);
      DecodeProgressMonitor.start(q, a, commands.now());
      driver.renewReservation(q, a, Stage.DECODE);
      updateTimer(q);
    }
  }

  void tokensArrived(AttemptId id, int count) {
    if (!(requests.find(id) instanceof LiveAttempt(EntryRequest q, Attempt a))) {
      return;
    }
    if (a.state == Attempt.State.TRANSFER) {
      decodeStarted(id);
    }
    if (q.engineVersion == null) {
      q.engineVersion = a.engineVersion;
    }
    q.tokensSent += count;
    a.lastProgressNanos = commands.now();
    stalledStreams.progressed(q, a);
  }

  void decodeFinished(AttemptId id) {
    if (requests.find(id) instanceof LiveAttempt(EntryRequest q, Attempt a) && a.granted()) {
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
    runOutcomes.completed(q);
    commands.emit(new RoutingCommand.Complete(q.request.id()));
    closeRequest(q, Outcome.FINISHED);
  }

  void decodeFailed(AttemptId id, Failure failure) {
    if (requests.find(id) instanceof LiveAttempt(EntryRequest q, Attempt a)
        && a.granted()
        && a.state != Attempt.State.PREFILL) {
      if (q.request.endsAtMaxOutput() && q.remainingTokens() == 0) {
        complete(q, a);
      } else {
        attemptFailed(q, a, a.decodeEngine, failure);
      }
    }
  }

  /** Ends an attempt whose upstream call failed, and retries or refuses the request. */
  private void attemptFailed(
      EntryRequest q, Attempt a, @Nullable UpstreamId upstream, Failure failure) {
    commands.explain(
        q.request.id(), "attempt_failed", failure + " on " + upstream + " in " + a.state);
    if (upstream != null && failure != Failure.KV_EXPIRED) {
      q.excluded.add(upstream);
    }
    boolean mayHaveRun =
        a.state.compareTo(Attempt.State.TRANSFER) >= 0 && !FailureRules.neverStarted(failure);
    q.generationRuns += mayHaveRun ? 1 : 0;
    KvHandle handle = a.state == Attempt.State.TRANSFER ? a.kvHandle : null;
    boolean otherUsesKv = stalledStreams.otherAttemptUses(q, a, handle);
    boolean reuseKv =
        handle != null
            && a != q.hedge
            && (!mayHaveRun || q.mayGenerateAgain())
            && failure != Failure.KV_EXPIRED
            && handle.expiresNanos() - commands.now() >= StalledStreamMover.MIN_KV_TIME_LEFT_NANOS
            && q.attemptCount() < MAX_ATTEMPTS;
    if (FailureRules.mayStillRun(failure)) {
      driver.cancel(a, Outcome.FAILED, reuseKv || otherUsesKv);
    } else {
      if (handle != null && !reuseKv && !otherUsesKv) {
        commands.emit(new RoutingCommand.ReleaseKv(handle));
      }
      driver.releaseReservation(a, FailureRules.reservationOutcome(failure));
    }
    if (failure == Failure.CRASHED) {
      boolean admittingNodeLive =
          a.admittingNode != null && topology.member(a.admittingNode) != null;
      runOutcomes.crashed(q, a, upstream, admittingNodeLive);
    }
    if (a == q.hedge) {
      q.hedge = null;
      updateTimer(q);
      return;
    }
    q.current = q.hedge;
    q.hedge = null;
    if (q.current != null) {
      updateTimer(q);
    } else if (reuseKv && handle != null && retryBudget.tryAcquire()) {
      commands.explain(q.request.id(), "decode_reassigned", "KV cache of " + handle.source());
      starter.requestReservation(q, a.cell, handle);
    } else if (a.state == Attempt.State.RESERVING) {
      retryReservation(q);
    } else if (mayHaveRun && !q.mayGenerateAgain()) {
      commands.explain(q.request.id(), "not_repeatable", "runs=" + q.generationRuns);
      refuse(q, ErrorCode.UPSTREAM_FAILED, "upstream failed: " + failure, Duration.ZERO);
    } else {
      if (reuseKv && handle != null) {
        commands.emit(new RoutingCommand.ReleaseKv(handle));
      }
      retry(q, failure);
    }
  }

  /** Starts a new attempt without charging the retry budget, as no engine time was spent. */
  private void retryReservation(EntryRequest q) {
    q.engineRefusals++;
    if (q.engineRefusals <= MAX_ENGINE_REFUSALS) {
      starter.startAttempt(q);
    } else {
      refuse(q, ErrorCode.OVERLOADED, "no engine has room", retryAfterJitter.draw(2, 1));
    }
  }

  /** Starts a new attempt if the deadlines and the retry budget permit, or refuses the request. */
  private void retry(EntryRequest q, Failure failure) {
    long now = commands.now();
    boolean inTime =
        q.tokensSent > 0 ? now < q.request.finalDeadlineNanos() : now < q.request.waitLimitNanos();
    if (!inTime) {
      refuse(q, ErrorCode.DEADLINE_EXCEEDED, "failed too late to retry: " + failure, RETRY_AFTER);
    } else if (q.attemptCount() >= MAX_ATTEMPTS || !retryBudget.tryAcquire()) {
      commands.explain(q.request.id(), "retry_budget", "attempts=" + q.attemptCount());
      Duration retryAfter = retryAfterJitter.draw(2, 1);
      refuse(q, ErrorCode.UPSTREAM_FAILED, "upstream failed: " + failure, retryAfter);
    } else {
      String rule = q.tokensSent > 0 ? "continued" : "retried";
      commands.explain(q.request.id(), rule, "after " + failure + ", tokens=" + q.tokensSent);
      starter.startAttempt(q);
    }
  }

  void timerFired(String subject) {
    EntryRequest q = requests.findByIdText(subject);
    if (q != null) {
      checkRequest(q);
    }
  }

  private void checkRequest(EntryRequest q) {
    long now = commands.now();
    if (now >= q.request.finalDeadlineNanos()) {
      refuse(q, ErrorCode.DEADLINE_EXCEEDED, "the final deadline passed", Duration.ZERO);
      return;
    }
    if (q.awaitsPeers) {
      return;
    }
    if (q.current == null) {
      starter.startAttempt(q);
      return;
    }
    for (Attempt a : q.liveAttempts()) {
      if (q.find(a.id) == a) {
        checkAttempt(q, a);
      }
    }
    if (requests.get(q.request.id()) == q) {
      updateTimer(q);
    }
  }

  private void checkAttempt(EntryRequest q, Attempt a) {
    long now = commands.now();
    switch (a.state) {
      case ASKING -> {
        if (now - a.lastRequestNanos >= deadlines.responseTimeoutNanos(a)) {
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
      case TRANSFER -> stalledStreams.checkTransfer(q, a);
      case DECODE -> {
        switch (DecodeProgressMonitor.assess(q, a, now)) {
          case ON_TRACK -> {}
          case RENEWAL_DUE -> driver.renewReservation(q, a, Stage.DECODE);
          case STALLED -> {
            driver.renewReservation(q, a, Stage.DECODE);
            stalledStreams.decodeStalled(q, a);
          }
        }
      }
    }
  }

  /** Contacts the next admitting node, or treats the cell as having refused if there is none. */
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
    starter.handleCellRefusal(q, a.cell.name(), ErrorCode.UPSTREAM_UNAVAILABLE, RETRY_AFTER);
  }

  private void checkQueued(EntryRequest q, Attempt a) {
    long now = commands.now();
    if (q.tokensSent == 0
        && now >= q.request.waitLimitNanos()
        && !StalledStreamMover.isReplacement(q, a)) {
      commands.explain(
          q.request.id(), "queue_too_long", "the wait limit of the caller passed in the queue");
      Duration retryAfter = retryAfterJitter.draw(now - q.arrivedNanos, now - q.arrivedNanos);
      refuse(q, ErrorCode.OVERLOADED, "no engine became free in time", retryAfter);
    } else if (a.lastRequestNanos > a.lastProgressNanos
        && now - a.lastRequestNanos >= deadlines.responseTimeoutNanos(a)) {
      contactNextNode(q, a);
    } else if (now - a.lastRequestNanos >= AttemptDeadlines.QUEUE_CHECK_INTERVAL_NANOS) {
      driver.repeatReservationRequest(q, a);
    }
  }

  private void checkPrefill(EntryRequest q, Attempt a) {
    long now = commands.now();
    if (now > deadlines.firstTokenCutoffNanos(q, a) && StalledStreamMover.isReplacement(q, a)) {
      stalledStreams.drop(q, "its prefill is late");
    } else if (now > deadlines.firstTokenCutoffNanos(q, a)) {
      commands.explain(q.request.id(), "prefill_late", "cancelled before decode");
      refuse(q, ErrorCode.DEADLINE_EXCEEDED, "prefill took too long", RETRY_AFTER);
    } else if (!a.renewedInStage && now >= deadlines.latePrefillNanos(a)) {
      a.renewedInStage = true;
      driver.renewReservation(q, a, Stage.PREFILL);
      boolean inTime = now + a.predictedFirstTokenNanos() < q.request.firstTokenDeadlineNanos();
      if (a == q.current && q.hedge == null && q.tokensSent == 0 && inTime) {
        latePrefills.requestSecond(q, a);
      }
    }
  }

  @Override
  public void updateTimer(EntryRequest q) {
    if (q.liveAttempts().isEmpty()) {
      // Waiting for a permission or for the delay after a pause, which set their own timers.
      return;
    }
    long nextCheck = q.request.finalDeadlineNanos();
    for (Attempt a : q.liveAttempts()) {
      nextCheck = Math.min(nextCheck, deadlines.nextCheckNanos(q, a, commands.now()));
    }
    commands.setTimer(TIMER_KIND, q.request.id().value(), Math.max(nextCheck, commands.now() + 1));
  }

  void restartAfterLongPause() {
    pauseRecovery.restartAfterLongPause();
  }

  void restartAfterShortPause() {
    pauseRecovery.restartAfterShortPause();
  }

  @Override
  public void refuse(EntryRequest q, ErrorCode code, String detail, Duration retryAfter) {
    commands.explain(q.request.id(), "refused_" + code.wireName(), detail);
    commands.emit(new RoutingCommand.Refuse(q.request.id(), code, detail, retryAfter));
    closeRequest(q, Outcome.CANCELLED);
  }

  private void closeRequest(EntryRequest q, Outcome outcome) {
    boolean abandoned = q.liveAttempts().stream().anyMatch(Attempt::granted);
    stalledStreams.cancelAttempts(q, outcome);
    requests.remove(q.request.id());
    permissionClient.cancel(q.request.id());
    origins.cancel(q.request.id());
    if (q.suspectPart != null) {
      permissionClient.release(
          q.request.id(), q.suspectPart, PromptPartQuarantine.RUN_GROUP, abandoned);
    } else if (q.suspectRunPermitted) {
      permissionClient.release(q.request.id(), q.request.fingerprint(), "", abandoned);
    }
    commands.emit(new RoutingCommand.CancelTimer(new TimerKey(TIMER_KIND, q.request.id().value())));
  }
}
