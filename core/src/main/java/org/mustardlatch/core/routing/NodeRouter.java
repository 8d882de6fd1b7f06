package org.mustardlatch.core.routing;

import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.AdmissionMessage;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveGranted;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveQueued;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveRefused;
import org.mustardlatch.core.peer.EvidenceMessage;
import org.mustardlatch.core.peer.EvidenceMessage.LeavingNotice;
import org.mustardlatch.core.peer.EvidenceMessage.RunPermission;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.quarantine.CrashEvidence;

/**
 * The routing decisions of one node for generation requests: as entry node for the requests of its
 * callers, and as admitting node for the cells that rendezvous hashing assigns to it.
 *
 * <p>Deterministic: the same events at the same times with the same random generator lead to the
 * same commands. Not safe for use by several threads.
 */
public final class NodeRouter implements RoutingPolicy {
  private static final String TICK = "tick";
  private static final String CELL = "cell";
  // More than one, as an introducer may be joining or dying itself.
  private static final int INTRODUCERS = 3;
  private static final long TICK_NANOS = 100_000_000;

  private final Effects fx;
  private final NodeSettings settings = new NodeSettings();
  private final CrashEvidence evidence = new CrashEvidence();
  private final PauseDetector pauses = new PauseDetector();
  private final LeavingUpstreams leaving = new LeavingUpstreams();
  private final CrashEvidenceCoordinator evidenceSide;
  private final AdmissionController admitting;
  private final EntrySide entry;
  private final OrphanedAttemptSweeper sweep;
  private Topology topology = new Topology(null, List.of());
  private List<Member> members = List.of();
  private long incarnation;
  private boolean ticking;

  /**
   * Creates the decisions of a node that knows no manifest and no other node yet.
   *
   * @param self this node
   * @param region region of this node
   * @param incarnation number of this start of the node, at least 0; grows with every start
   * @param random source of all randomness
   */
  public NodeRouter(HostId self, RegionId region, long incarnation, RandomGenerator random) {
    if (incarnation < 0) {
      throw new IllegalArgumentException("incarnation must be at least 0, got " + incarnation);
    }
    this.incarnation = incarnation;
    this.fx = new Effects(self);
    var environment = new CellAdmission.Environment(fx, random, evidence, settings);
    this.evidenceSide = new CrashEvidenceCoordinator(fx, evidence, topology, incarnation);
    this.admitting = new AdmissionController(environment, evidenceSide, leaving, topology);
    this.entry = new EntrySide(environment, evidenceSide, leaving, region, topology);
    this.sweep = new OrphanedAttemptSweeper(fx, topology);
  }

  /**
   * Returns the incarnation that upstream work must be tagged with. It rises when this node finds
   * that it was paused so long that others may have declared it dead; membership must then announce
   * the new one.
   */
  public long incarnation() {
    return incarnation;
  }

  /** Returns the engines whose load and held attempts this node must read as admitting node. */
  public List<UpstreamId> admittedEngines() {
    return admitting.ownedEngines();
  }

  /** Returns the number of requests of this node's callers that have no final answer yet. */
  public int openRequests() {
    return entry.size();
  }

  /** Returns the number of reservations and queued requests in the cells of this node. */
  public int openReservations() {
    return admitting.reservationCount() + admitting.queuedCount();
  }

  @Override
  public void handle(RoutingEvent event, long nowNanos, Consumer<RoutingCommand> out) {
    fx.begin(nowNanos, out);
    if (!ticking) {
      ticking = true;
      fx.timer(TICK, fx.self().value(), nowNanos + TICK_NANOS);
    }
    switch (pauses.recordEvent(nowNanos)) {
      case RUNNING -> {}
      case SHORT_PAUSE -> entry.askAfresh();
      case LONG_PAUSE -> fence();
    }
    dispatch(event);
    deliverToSelf();
  }

  private void deliverToSelf() {
    for (PeerMessage m = fx.nextToSelf(); m != null; m = fx.nextToSelf()) {
      received(fx.self(), m);
    }
  }

  private void dispatch(RoutingEvent event) {
    switch (event) {
      case RoutingEvent.RequestArrived e -> entry.arrived(e.request());
      case RoutingEvent.CallerGone e -> entry.callerGone(e.request());
      case RoutingEvent.EngineReserved e -> entry.engineReserved(e.attempt());
      case RoutingEvent.EngineNotReserved e -> entry.engineNotReserved(e.attempt(), e.failure());
      case RoutingEvent.PrefillFinished e -> entry.prefillFinished(e.attempt(), e.handle());
      case RoutingEvent.PrefillFailed e -> entry.prefillFailed(e.attempt(), e.failure());
      case RoutingEvent.DecodeStarted e -> entry.decodeStarted(e.attempt());
      case RoutingEvent.TokensArrived e -> entry.tokensArrived(e.attempt(), e.count());
      case RoutingEvent.DecodeFinished e -> entry.decodeFinished(e.attempt());
      case RoutingEvent.DecodeFailed e -> entry.decodeFailed(e.attempt(), e.failure());
      case RoutingEvent.LoadReported e -> loadReported(e);
      case RoutingEvent.HeldAttemptsListed e -> {
        admitting.attemptsListed(e.upstream(), e.attempts());
        sweep.cancelOrphans(e.upstream(), e.attempts(), entry, incarnation);
      }
      case RoutingEvent.PeerReceived e -> received(e.from(), e.message());
      case RoutingEvent.ManifestApplied e -> {
        settings.apply(e.manifest());
        topologyChanged();
      }
      case RoutingEvent.MembersChanged e -> membersChanged(e.members());
      case RoutingEvent.UpstreamLeaving e -> upstreamLeaving(e.upstream());
      case RoutingEvent.TimerFired e -> timer(e.key());
      case RoutingEvent.DrainRequested e -> entry.drain();
    }
  }

  private void received(HostId from, PeerMessage message) {
    switch (message) {
      case ReserveGranted m -> entry.granted(from, m);
      case ReserveQueued m -> entry.queued(from, m);
      case ReserveRefused m -> entry.refused(m);
      case AdmissionMessage.CellSummary m -> entry.summary(m);
      case AdmissionMessage m -> admitting.handle(from, m);
      case RunPermission m -> entry.permission(m);
      case LeavingNotice m -> leaving.recordRemoteSignal(m.upstream(), fx.now());
      case EvidenceMessage m -> evidenceSide.handle(from, m);
      default -> {
        // Other messages belong to other parts of the node.
      }
    }
  }

  private void loadReported(RoutingEvent.LoadReported e) {
    if (e.report().leaving()) {
      upstreamLeaving(e.upstream());
    }
    admitting.loadReported(e.upstream(), e.report());
  }

  private void upstreamLeaving(UpstreamId upstream) {
    leaving.recordLocalSignal(upstream, fx.now());
    spreadLeaving();
  }

  private void spreadLeaving() {
    for (UpstreamId u : leaving.takeDueNotices(fx.now())) {
      evidenceSide.broadcast(new LeavingNotice(u));
    }
  }

  private void membersChanged(List<Member> next) {
    for (Member m : next) {
      if (m.host().equals(fx.self())) {
        incarnation = Math.max(incarnation, m.incarnation());
      }
    }
    Topology before = topology;
    members = next;
    topologyChanged();
    for (Member m : next) {
      if (before.member(m.host()) == null && introduces(m)) {
        leaving.listActive(fx.now()).forEach(u -> fx.send(m.host(), new LeavingNotice(u)));
        evidenceSide.sendRecentReports(m.host());
      }
    }
  }

  /** Returns whether this node is one of the few that tell a joining node what it missed. */
  private boolean introduces(Member joining) {
    List<HostId> order = topology.rankedOwners(joining.host().value());
    return !joining.host().equals(fx.self())
        && order.subList(0, Math.min(INTRODUCERS + 1, order.size())).contains(fx.self());
  }

  private void topologyChanged() {
    topology = new Topology(settings.manifest(), members);
    evidenceSide.topologyChanged(topology, incarnation);
    sweep.topologyChanged(topology);
    admitting.topologyChanged(topology);
    entry.topologyChanged(topology);
  }

  private void timer(TimerKey key) {
    switch (key.kind()) {
      case TICK -> tick();
      case CELL -> admitting.tick(key.subject());
      case EntrySide.TIMER -> entry.timer(key.subject());
      default -> throw new IllegalArgumentException("unknown timer " + key);
    }
  }

  private void tick() {
    fx.timer(TICK, fx.self().value(), fx.now() + TICK_NANOS);
    spreadLeaving();
    leaving.removeExpired(topology, fx.now());
    admitting.tickAll();
    evidenceSide.tick();
    sweep.tick();
  }

  private void fence() {
    incarnation++;
    fx.emit(
        new RoutingCommand.SetTimer(new TimerKey(TICK, fx.self().value()), fx.now() + TICK_NANOS));
    admitting.dropAllReservations();
    entry.fence();
    evidenceSide.topologyChanged(topology, incarnation);
  }
}
