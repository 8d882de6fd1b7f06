package org.mustardlatch.core.routing;

import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.AdmissionMessage;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveGranted;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveQueued;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveRefused;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLease;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLeaseRequest;
import org.mustardlatch.core.peer.EvidenceMessage;
import org.mustardlatch.core.peer.EvidenceMessage.CrashReport;
import org.mustardlatch.core.peer.EvidenceMessage.EvidenceRequest;
import org.mustardlatch.core.peer.EvidenceMessage.EvidenceSent;
import org.mustardlatch.core.peer.EvidenceMessage.LeavingNotice;
import org.mustardlatch.core.peer.EvidenceMessage.PromptCrashReport;
import org.mustardlatch.core.peer.EvidenceMessage.PromptPartsCleared;
import org.mustardlatch.core.peer.EvidenceMessage.RateLimitNotice;
import org.mustardlatch.core.peer.EvidenceMessage.RunPermission;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.peer.StreamMessage;
import org.mustardlatch.core.quarantine.CrashEvidence;
import org.mustardlatch.core.quarantine.CrashEvidence.SuspicionLevel;
import org.mustardlatch.core.quarantine.PromptPartEvidence;

/**
 * Makes the routing decisions of one node for generation requests. A node is the entry node of its
 * callers' requests, and the admitting node of the cells that rendezvous hashing assigns to it: it
 * admits work to the engines of these cells.
 *
 * <p>Deterministic: the same events at the same times with the same random generator lead to the
 * same commands. Not thread-safe.
 */
public final class NodeRouter implements RoutingPolicy {
  /** Prefix of the names of budgets of upstreams; the router handles messages about them. */
  public static final String UPSTREAM_BUDGET_PREFIX = ApplicationStarts.BUDGET_PREFIX;

  /** Prefix of the names of budgets of workspaces; the router handles messages about them. */
  public static final String WORKSPACE_BUDGET_PREFIX = WorkspaceSpends.BUDGET_PREFIX;

  private static final String TICK_TIMER = "tick";
  private static final String CELL_TIMER = "cell";
  // More than one, because an introducer may itself have just joined or be about to fail.
  private static final int INTRODUCER_COUNT = 3;
  private static final long TICK_INTERVAL_NANOS = 100_000_000;

  private final CommandCollector commands;
  private final NodeSettings settings = new NodeSettings();
  private final CrashEvidence evidence = new CrashEvidence();
  private final PauseDetector pauseDetector = new PauseDetector();
  private final UnavailableUpstreams unavailableUpstreams = new UnavailableUpstreams();
  private final CrashEvidenceCoordinator evidenceCoordinator;
  private final PromptPartEvidence promptPartEvidence = new PromptPartEvidence();
  private final PromptPartQuarantine promptPartQuarantine;
  private final RunPermissionClient permissionClient;
  private final AdmissionController admissionController;
  private final StreamOrigins streamOrigins;
  private final RequestCoordinator requestCoordinator;
  private final OrphanedAttemptSweeper orphanSweeper;
  private final EvidenceSync evidenceSync;
  private final UpstreamLimits upstreamLimits;
  private final ApplicationStarts applicationStarts;
  private final WorkspaceSpends workspaceSpends;
  private Topology topology = new Topology(null, List.of());
  private List<Member> members = List.of();
  private long incarnation;
  private boolean tickTimerSet;

  /**
   * Creates a router without a manifest and without other nodes.
   *
   * @param self host of this node
   * @param region region of this node
   * @param incarnation number of this start of the node, at least 0; increases with every start
   * @param random source of all randomness
   */
  public NodeRouter(HostId self, RegionId region, long incarnation, RandomGenerator random) {
    if (incarnation < 0) {
      throw new IllegalArgumentException("incarnation must be at least 0, got " + incarnation);
    }
    this.incarnation = incarnation;
    this.commands = new CommandCollector(self);
    this.upstreamLimits = new UpstreamLimits(commands);
    this.applicationStarts = new ApplicationStarts(commands, upstreamLimits, topology);
    this.workspaceSpends = new WorkspaceSpends(commands, upstreamLimits, random, region, topology);
    var environment =
        new CellAdmission.Environment(commands, random, evidence, settings, upstreamLimits);
    this.evidenceCoordinator =
        new CrashEvidenceCoordinator(commands, evidence, promptPartEvidence, topology, incarnation);
    this.promptPartQuarantine =
        new PromptPartQuarantine(commands, evidenceCoordinator, promptPartEvidence);
    this.admissionController =
        new AdmissionController(environment, evidenceCoordinator, unavailableUpstreams, topology);
    this.permissionClient = new RunPermissionClient(commands, evidenceCoordinator);
    this.streamOrigins = new StreamOrigins(commands, region, topology);
    this.requestCoordinator =
        new RequestCoordinator(
            environment,
            evidenceCoordinator,
            promptPartQuarantine,
            permissionClient,
            unavailableUpstreams,
            streamOrigins,
            region,
            topology);
    this.orphanSweeper = new OrphanedAttemptSweeper(commands, topology);
    this.evidenceSync = new EvidenceSync(commands);
  }

  /**
   * Returns the incarnation that upstream work must be tagged with. It increases when this node
   * detects a pause so long that others may have declared it dead; membership must then announce
   * the new incarnation.
   */
  public long incarnation() {
    return incarnation;
  }

  /** Returns the engines whose load and attempts this node must poll as their admitting node. */
  public List<UpstreamId> admittedEngines() {
    return admissionController.admittedEngines();
  }

  /**
   * Returns whether any content was running on an upstream that crashed. If not, application
   * requests may run without {@link RoutingEvent.ApplicationRunRequested}.
   */
  public boolean hasCrashEvidence() {
    return evidence.size() > 0;
  }

  /**
   * Sets the number of nodes that the settings of this node name, itself included. As long as it
   * sees fewer, it may be cut off from the others.
   */
  public void expectNodes(int count) {
    upstreamLimits.expectNodes(count);
  }

  /**
   * Returns whether any upstream states a limit on its requests. If not, application requests may
   * be sent without {@link RoutingEvent.ApplicationStartRequested}.
   */
  public boolean hasUpstreamLimits() {
    return upstreamLimits.any();
  }

  /** Returns whether an upstream states a limit on its requests, as far as this node knows. */
  public boolean isLimited(UpstreamId upstream) {
    return upstreamLimits.isLimited(upstream);
  }

  /**
   * Returns whether this node has learned since its start what the fleet knows about crashes. Stays
   * false as long as no other node responds.
   */
  public boolean knowsFleetEvidence() {
    return evidenceSync.isComplete();
  }

  /** Returns the number of requests of this node's callers without a final response. */
  public int openRequests() {
    return requestCoordinator.requestCount();
  }

  /** Returns the number of reservations and queued requests in the cells this node admits to. */
  public int openReservations() {
    return admissionController.reservationCount() + admissionController.queuedCount();
  }

  @Override
  public void handle(RoutingEvent event, long nowNanos, Consumer<RoutingCommand> out) {
    commands.beginEvent(nowNanos, out);
    if (!tickTimerSet) {
      tickTimerSet = true;
      commands.setTimer(TICK_TIMER, commands.self().value(), nowNanos + TICK_INTERVAL_NANOS);
    }
    switch (pauseDetector.recordEvent(nowNanos)) {
      case RUNNING -> {}
      case SHORT_PAUSE -> requestCoordinator.restartAfterShortPause();
      case LONG_PAUSE -> startNewIncarnation();
    }
    dispatch(event);
    handleLocalMessages();
  }

  private void handleLocalMessages() {
    for (PeerMessage m = commands.pollLocalMessage(); m != null; m = commands.pollLocalMessage()) {
      peerMessageReceived(commands.self(), m);
    }
  }

  private void dispatch(RoutingEvent event) {
    switch (event) {
      case RoutingEvent.RequestArrived e -> requestCoordinator.requestArrived(e.request());
      case RoutingEvent.CallerDisconnected e -> requestCoordinator.callerDisconnected(e.request());
      case RoutingEvent.EngineReserved e -> requestCoordinator.engineReserved(e.attempt());
      case RoutingEvent.EngineReservationFailed e ->
          requestCoordinator.engineReservationFailed(e.attempt(), e.failure());
      case RoutingEvent.PrefillFinished e ->
          requestCoordinator.prefillFinished(e.attempt(), e.handle());
      case RoutingEvent.PrefillFailed e ->
          requestCoordinator.prefillFailed(e.attempt(), e.failure());
      case RoutingEvent.DecodeStarted e -> requestCoordinator.decodeStarted(e.attempt());
      case RoutingEvent.TokensArrived e -> requestCoordinator.tokensArrived(e.attempt(), e.count());
      case RoutingEvent.DecodeFinished e -> requestCoordinator.decodeFinished(e.attempt());
      case RoutingEvent.DecodeFailed e -> requestCoordinator.decodeFailed(e.attempt(), e.failure());
      case RoutingEvent.LoadReported e -> loadReported(e);
      case RoutingEvent.AttemptsListed e -> {
        admissionController.attemptsListed(e.upstream(), e.attempts());
        orphanSweeper.cancelOrphans(e.upstream(), e.attempts(), requestCoordinator, incarnation);
      }
      case RoutingEvent.PeerMessageReceived e -> peerMessageReceived(e.from(), e.message());
      case RoutingEvent.ManifestApplied e -> {
        settings.apply(e.manifest());
        topologyChanged();
      }
      case RoutingEvent.MembersChanged e -> membersChanged(e.members());
      case RoutingEvent.UpstreamLeaving e -> upstreamLeaving(e.upstream());
      case RoutingEvent.UpstreamPaused e ->
          unavailableUpstreams.pause(e.upstream(), commands.now() + e.duration().toNanos());
      case RoutingEvent.UpstreamLimitStated e ->
          upstreamLimits.stated(e.upstream(), e.requestsPerSecond());
      case RoutingEvent.ApplicationStartRequested e ->
          applicationStarts.startRequested(e.request(), e.candidates());
      case RoutingEvent.AllowancesApplied e ->
          workspaceSpends.allowancesApplied(e.allowances(), e.bounds());
      case RoutingEvent.SpendRequested e ->
          workspaceSpends.spendRequested(e.request(), e.workspace(), e.units());
      case RoutingEvent.SpendReturned e -> workspaceSpends.spendReturned(e.workspace(), e.units());
      case RoutingEvent.TimerFired e -> timerFired(e.key());
      case RoutingEvent.ApplicationRunRequested e -> decideRun(e);
      case RoutingEvent.ApplicationRunEnded e ->
          permissionClient.release(e.request(), e.fingerprint(), e.service(), e.abandoned());
      case RoutingEvent.ApplicationRunCompleted e -> {
        clearSuspect(e.fingerprint());
        permissionClient.release(e.request(), e.fingerprint(), e.service(), false);
      }
      case RoutingEvent.UpstreamCrashed e -> upstreamCrashed(e);
      case RoutingEvent.DrainRequested e -> requestCoordinator.startDraining();
    }
  }

  private void upstreamCrashed(RoutingEvent.UpstreamCrashed e) {
    evidenceCoordinator.processCrashed(
        new CrashReport(e.upstream(), e.processId(), e.running()), e.lastSentNanos());
    for (RoutingEvent.AbandonedPrompt p : e.abandonedPrompts()) {
      promptPartQuarantine.requestCrashed(e.upstream(), p.sharedParts(), p.sentNanos());
    }
  }

  private void decideRun(RoutingEvent.ApplicationRunRequested e) {
    switch (evidence.suspicionLevel(e.fingerprint(), commands.now())) {
      case CLEAN -> runDecided(e, Verdict.RUN);
      case QUARANTINED -> runDecided(e, Verdict.QUARANTINED);
      case SUSPECT ->
          permissionClient.request(
              e.request(), e.fingerprint(), e.service(), e.waitUntilNanos(), v -> runDecided(e, v));
    }
  }

  private void runDecided(RoutingEvent.ApplicationRunRequested e, Verdict verdict) {
    boolean suspect =
        evidence.suspicionLevel(e.fingerprint(), commands.now()) == SuspicionLevel.SUSPECT;
    commands.emit(new RoutingCommand.DecideApplicationRun(e.request(), verdict, suspect));
  }

  private void clearSuspect(Fingerprint fingerprint) {
    if (evidence.suspicionLevel(fingerprint, commands.now()) == SuspicionLevel.SUSPECT) {
      evidenceCoordinator.clearSuspect(fingerprint);
    }
  }

  private void peerMessageReceived(HostId from, PeerMessage message) {
    switch (message) {
      case ReserveGranted m -> requestCoordinator.reservationGranted(from, m);
      case ReserveQueued m -> requestCoordinator.reservationQueued(from, m);
      case ReserveRefused m -> requestCoordinator.reservationRefused(m);
      case AdmissionMessage.CellSummary m -> requestCoordinator.recordSummary(m);
      case AdmissionMessage m -> admissionController.handle(from, m);
      case StreamMessage m -> streamOrigins.handle(from, m);
      case RunPermission m -> permissionClient.permissionReceived(m);
      case LeavingNotice m -> unavailableUpstreams.recordRemoteSignal(m.upstream(), commands.now());
      case PromptCrashReport m -> promptPartQuarantine.handle(m);
      case PromptPartsCleared m -> promptPartQuarantine.handle(m);
      case RateLimitNotice m -> upstreamLimits.handle(m);
      case BudgetLeaseRequest m when m.budget().startsWith(WORKSPACE_BUDGET_PREFIX) ->
          workspaceSpends.leaseRequested(from, m);
      case BudgetLease m when m.budget().startsWith(WORKSPACE_BUDGET_PREFIX) ->
          workspaceSpends.leaseReceived(from, m);
      case BudgetLeaseRequest m -> applicationStarts.leaseRequested(from, m);
      case BudgetLease m -> applicationStarts.leaseReceived(m);
      case EvidenceRequest m -> {
        sendEvidence(from);
        commands.send(from, new EvidenceSent(evidenceSync.isComplete()));
      }
      case EvidenceSent m -> evidenceSync.evidenceReceived(from, m);
      case EvidenceMessage m -> evidenceCoordinator.handle(from, m);
      default -> {
        // Other parts of the node handle the other messages.
      }
    }
  }

  private void loadReported(RoutingEvent.LoadReported e) {
    if (e.report().leaving()) {
      upstreamLeaving(e.upstream());
    }
    admissionController.loadReported(e.upstream(), e.report());
  }

  private void upstreamLeaving(UpstreamId upstream) {
    unavailableUpstreams.recordLocalSignal(upstream, commands.now());
    broadcastLeavingNotices();
  }

  private void broadcastLeavingNotices() {
    for (UpstreamId u : unavailableUpstreams.takeDueNotices(commands.now())) {
      evidenceCoordinator.broadcast(new LeavingNotice(u));
    }
  }

  private void membersChanged(List<Member> next) {
    for (Member m : next) {
      if (m.host().equals(commands.self())) {
        incarnation = Math.max(incarnation, m.incarnation());
      }
    }
    Topology before = topology;
    members = next;
    topologyChanged();
    for (Member m : next) {
      if (isNewStart(before.member(m.host()), m) && isIntroducerOf(m)) {
        sendEvidence(m.host());
      }
    }
  }

  private void sendEvidence(HostId host) {
    unavailableUpstreams
        .listActive(commands.now())
        .forEach(u -> commands.send(host, new LeavingNotice(u)));
    evidenceCoordinator.sendRecentReports(host);
    promptPartQuarantine.sendCrashes(host);
    upstreamLimits.sendStatements(host);
  }

  /** Returns whether a member has joined, or has restarted and lost what it was told before. */
  private static boolean isNewStart(@Nullable Member before, Member now) {
    return before == null || before.incarnation() < now.incarnation();
  }

  /** Returns whether this node is one of those that send earlier notices to a joining node. */
  private boolean isIntroducerOf(Member joining) {
    List<HostId> order = topology.rankedOwners(joining.host().value());
    return !joining.host().equals(commands.self())
        && order.subList(0, Math.min(INTRODUCER_COUNT + 1, order.size())).contains(commands.self());
  }

  private void topologyChanged() {
    topology = new Topology(settings.manifest(), members);
    evidenceCoordinator.topologyChanged(topology, incarnation);
    orphanSweeper.topologyChanged(topology);
    admissionController.topologyChanged(topology);
    streamOrigins.topologyChanged(topology);
    requestCoordinator.topologyChanged(topology);
    evidenceSync.topologyChanged(topology);
    upstreamLimits.topologyChanged(topology);
    applicationStarts.topologyChanged(topology);
    workspaceSpends.topologyChanged(topology);
  }

  private void timerFired(TimerKey key) {
    switch (key.kind()) {
      case TICK_TIMER -> tick();
      case CELL_TIMER -> admissionController.tick(key.subject());
      case WorkspaceSpends.TIMER_KIND -> workspaceSpends.timerFired(key.subject());
      case ApplicationStarts.TIMER_KIND -> applicationStarts.timerFired(key.subject());
      case StreamOrigins.TIMER_KIND -> streamOrigins.timerFired(key.subject());
      case RunPermissionClient.TIMER_KIND -> permissionClient.timerFired(key.subject());
      case RequestCoordinator.TIMER_KIND -> requestCoordinator.timerFired(key.subject());
      default -> throw new IllegalArgumentException("unknown timer " + key);
    }
  }

  private void tick() {
    commands.setTimer(TICK_TIMER, commands.self().value(), commands.now() + TICK_INTERVAL_NANOS);
    broadcastLeavingNotices();
    unavailableUpstreams.removeExpired(topology, commands.now());
    admissionController.tickAll();
    evidenceCoordinator.tick();
    promptPartQuarantine.tick();
    orphanSweeper.tick();
    evidenceSync.tick();
    streamOrigins.tick();
    upstreamLimits.tick(evidenceCoordinator);
    applicationStarts.tick();
    workspaceSpends.tick();
  }

  /** Discards the state that other nodes may have replaced during a long pause, and starts anew. */
  private void startNewIncarnation() {
    incarnation++;
    commands.emit(
        new RoutingCommand.SetTimer(
            new TimerKey(TICK_TIMER, commands.self().value()),
            commands.now() + TICK_INTERVAL_NANOS));
    admissionController.dropAllReservations();
    requestCoordinator.restartAfterLongPause();
    workspaceSpends.restartAfterLongPause();
    evidenceCoordinator.topologyChanged(topology, incarnation);
  }
}
