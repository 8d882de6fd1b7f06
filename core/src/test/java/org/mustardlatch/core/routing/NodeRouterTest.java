package org.mustardlatch.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.mustardlatch.core.routing.Fixtures.MILLI;
import static org.mustardlatch.core.routing.Fixtures.OSLO;
import static org.mustardlatch.core.routing.Fixtures.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.core.manifest.Objective;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.AdmissionMessage;
import org.mustardlatch.core.peer.AdmissionMessage.CellSummary;
import org.mustardlatch.core.peer.AdmissionMessage.Reserve;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveGranted;
import org.mustardlatch.core.peer.PeerMessage;

/** Tests the decisions of single nodes by their commands; the tests supply all events. */
class NodeRouterTest {
  private final List<RoutingCommand> commands = new ArrayList<>();
  private NodeRouter router;
  private long now = 1000 * SECOND;

  @BeforeEach
  void createRouter() {
    router = new NodeRouter(Fixtures.host(0), OSLO, 1, new SplittableRandom(1));
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO))));
    handle(
        new RoutingEvent.ManifestApplied(
            1, Fixtures.manifest(Objective.CREST_AVERSE, Fixtures.enginePools(2, 2))));
  }

  private void handle(RoutingEvent event) {
    router.handle(event, now, commands::add);
  }

  private <T> List<T> commandsOfType(Class<T> type) {
    return commands.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private <T> T lastCommandOfType(Class<T> type) {
    return commandsOfType(type).getLast();
  }

  private RoutingCommand.StartPrefill startPrefill(String id) {
    handle(new RoutingEvent.RequestArrived(Fixtures.request(id, 2000, now)));
    return lastCommandOfType(RoutingCommand.StartPrefill.class);
  }

  private KvHandle kvHandle(UpstreamId source) {
    return new KvHandle(source, "kv", 1000, now + Fixtures.KV_LIFETIME);
  }

  private RoutingCommand.StartDecode finishPrefill(RoutingCommand.StartPrefill p) {
    now += 200 * MILLI;
    handle(new RoutingEvent.PrefillFinished(p.attempt(), kvHandle(p.upstream())));
    return lastCommandOfType(RoutingCommand.StartDecode.class);
  }

  private void assertNoOpenWork() {
    assertThat(router.openRequests()).isEqualTo(0);
    assertThat(router.openReservations()).isEqualTo(0);
  }

  @Test
  void completesARequestThroughPrefillAndDecode() {
    RoutingCommand.StartDecode d = finishPrefill(startPrefill("r1"));
    handle(new RoutingEvent.DecodeStarted(d.attempt()));
    handle(new RoutingEvent.TokensArrived(d.attempt(), 3));
    handle(new RoutingEvent.DecodeFinished(d.attempt()));

    assertThat(commandsOfType(RoutingCommand.Complete.class)).hasSize(1);
    assertThat(commandsOfType(RoutingCommand.SendPeerMessage.class)).isEmpty();
    assertNoOpenWork();
  }

  @Test
  void cancelsThePrefillWhenTheCallerDisconnects() {
    RoutingCommand.StartPrefill p = startPrefill("r1");
    handle(new RoutingEvent.CallerDisconnected(new RequestId("r1")));

    assertThat(commandsOfType(RoutingCommand.CancelAttempt.class))
        .containsExactly(new RoutingCommand.CancelAttempt(p.attempt(), p.upstream()));
    assertThat(commandsOfType(RoutingCommand.Refuse.class)).isEmpty();
    assertNoOpenWork();
  }

  @Test
  void releasesTheKvCacheOfAPrefillThatEndsAfterItsCallerDisconnected() {
    RoutingCommand.StartPrefill p = startPrefill("r1");
    handle(new RoutingEvent.CallerDisconnected(new RequestId("r1")));
    handle(new RoutingEvent.PrefillFinished(p.attempt(), kvHandle(p.upstream())));

    assertThat(commandsOfType(RoutingCommand.ReleaseKv.class)).hasSize(1);
  }

  @Test
  void reusesTheKvCacheOnAnotherDecodeEngineAfterARefusal() {
    RoutingCommand.StartDecode first = finishPrefill(startPrefill("r1"));
    handle(new RoutingEvent.DecodeFailed(first.attempt(), Failure.REFUSED));
    RoutingCommand.StartDecode second = lastCommandOfType(RoutingCommand.StartDecode.class);

    assertThat(second.upstream()).isNotEqualTo(first.upstream());
    assertThat(second.handle()).isEqualTo(first.handle());
    assertThat(commandsOfType(RoutingCommand.StartPrefill.class)).hasSize(1);
  }

  @Test
  void continuesAStreamAfterItsDecodeEngineCrashed() {
    RoutingCommand.StartDecode d = finishPrefill(startPrefill("r1"));
    handle(new RoutingEvent.DecodeStarted(d.attempt()));
    handle(new RoutingEvent.TokensArrived(d.attempt(), 7));
    handle(new RoutingEvent.DecodeFailed(d.attempt(), Failure.CRASHED));
    RoutingCommand.StartDecode next =
        finishPrefill(lastCommandOfType(RoutingCommand.StartPrefill.class));

    assertThat(next.attempt()).isEqualTo(new AttemptId(new RequestId("r1"), 2));
    assertThat(next.resumeFrom()).isEqualTo(7);
    assertThat(next.upstream()).isNotEqualTo(d.upstream());
  }

  @Test
  void ignoresTheEndOfAReplacedAttempt() {
    RoutingCommand.StartDecode d = finishPrefill(startPrefill("r1"));
    handle(new RoutingEvent.DecodeFailed(d.attempt(), Failure.REFUSED));
    handle(new RoutingEvent.DecodeFinished(d.attempt()));

    assertThat(commandsOfType(RoutingCommand.Complete.class)).isEmpty();
  }

  @Test
  void keepsALatePrefillWhenNoOtherEngineExists() {
    applyWasteAverseManifest(1);
    RoutingCommand.StartPrefill p = startPrefill("r1");
    fireLatePrefillTimer();

    assertThat(commandsOfType(RoutingCommand.CancelAttempt.class)).isEmpty();
    RoutingCommand.StartDecode d = finishPrefill(p);
    assertThat(d.attempt()).isEqualTo(p.attempt());
  }

  @Test
  void cancelsALatePrefillOnceAnotherEngineWasGranted() {
    applyWasteAverseManifest(2);
    RoutingCommand.StartPrefill p = startPrefill("r1");
    fireLatePrefillTimer();

    assertThat(commandsOfType(RoutingCommand.CancelAttempt.class))
        .containsExactly(new RoutingCommand.CancelAttempt(p.attempt(), p.upstream()));
    assertThat(lastCommandOfType(RoutingCommand.StartPrefill.class).upstream())
        .isNotEqualTo(p.upstream());
  }

  @Test
  void queuesRequestsBehindASlowPrefillOfTheOnlyEngine() {
    applyWasteAverseManifest(1);
    startPrefill("r1");
    now += 600 * MILLI;
    handle(new RoutingEvent.RequestArrived(Fixtures.request("r2", 100, now)));

    assertThat(commandsOfType(RoutingCommand.Refuse.class)).isEmpty();
  }

  @Test
  void acceptsLongPromptsAgainAfterOneSlowPrefill() {
    applyWasteAverseManifest(1);
    RoutingCommand.StartPrefill slow = startPrefill("r1");
    now += 3000 * MILLI;
    handle(new RoutingEvent.PrefillFinished(slow.attempt(), kvHandle(slow.upstream())));
    handle(new RoutingEvent.RequestArrived(Fixtures.request("r2", 2000, now)));
    assertThat(commandsOfType(RoutingCommand.Refuse.class)).isNotEmpty();

    for (int i = 0; i < 300; i++) {
      now += 100 * MILLI;
      tick();
    }
    int refused = commandsOfType(RoutingCommand.Refuse.class).size();
    RoutingCommand.StartPrefill next = startPrefill("r3");
    assertThat(next.attempt().request()).isEqualTo(new RequestId("r3"));
    assertThat(commandsOfType(RoutingCommand.Refuse.class)).hasSize(refused);
  }

  private void tick() {
    RoutingCommand.SetTimer timer =
        commandsOfType(RoutingCommand.SetTimer.class).stream()
            .filter(t -> t.key().kind().equals("tick"))
            .reduce((a, b) -> b)
            .orElseThrow();
    handle(new RoutingEvent.TimerFired(timer.key()));
  }

  private void applyWasteAverseManifest(int prefillEngines) {
    handle(
        new RoutingEvent.ManifestApplied(
            2, Fixtures.manifest(Objective.WASTE_AVERSE, Fixtures.enginePools(prefillEngines, 2))));
  }

  /** Advances the time to the timer of request r1, at which its prefill is late, and fires it. */
  private void fireLatePrefillTimer() {
    RoutingCommand.SetTimer timer =
        commandsOfType(RoutingCommand.SetTimer.class).stream()
            .filter(t -> t.key().subject().equals("r1"))
            .reduce((a, b) -> b)
            .orElseThrow();
    now = Math.max(now, timer.atNanos());
    handle(new RoutingEvent.TimerFired(timer.key()));
  }

  @Test
  void refusesImmediatelyWhenTheDeadlineCannotBeMet() {
    for (int i = 0; i < 60; i++) {
      handle(new RoutingEvent.RequestArrived(Fixtures.request("r" + i, 2000, now)));
    }
    List<RoutingCommand.Refuse> refusals = commandsOfType(RoutingCommand.Refuse.class);

    assertThat(refusals).isNotEmpty();
    assertThat(refusals.getFirst().code()).isEqualTo(ErrorCode.OVERLOADED);
    assertThat(refusals.stream().map(RoutingCommand.Refuse::retryAfter).distinct().count())
        .isGreaterThan(refusals.size() / 2L);
  }

  @Test
  void sendsNoNewWorkToALeavingUpstream() {
    handle(new RoutingEvent.UpstreamLeaving(new UpstreamId("p0")));
    handle(new RoutingEvent.UpstreamLeaving(new UpstreamId("d1")));
    for (int i = 0; i < 3; i++) {
      RoutingCommand.StartDecode d = finishPrefill(startPrefill("r" + i));
      assertThat(d.handle().source()).isEqualTo(new UpstreamId("p1"));
      assertThat(d.upstream()).isEqualTo(new UpstreamId("d0"));
    }
  }

  @Test
  void refusesNewRequestsWhileDrainingAndCompletesEarlierOnes() {
    RoutingCommand.StartPrefill p = startPrefill("r1");
    handle(new RoutingEvent.DrainRequested());
    handle(new RoutingEvent.RequestArrived(Fixtures.request("r2", 2000, now)));
    assertThat(lastCommandOfType(RoutingCommand.Refuse.class).code()).isEqualTo(ErrorCode.DRAINING);

    RoutingCommand.StartDecode d = finishPrefill(p);
    handle(new RoutingEvent.DecodeFinished(d.attempt()));
    assertThat(commandsOfType(RoutingCommand.Complete.class)).hasSize(1);
  }

  @Test
  void cancelsItsOwnAttemptsAfterALongPauseBeforeNewWork() {
    RoutingCommand.StartPrefill p = startPrefill("r1");
    commands.clear();
    now += 7 * SECOND;
    handle(new RoutingEvent.RequestArrived(Fixtures.request("r2", 2000, now)));

    now += SECOND / 4;
    handle(new RoutingEvent.TimerFired(new TimerKey("request", "r2")));

    assertThat(router.incarnation()).isEqualTo(2);
    int cancel = commands.indexOf(new RoutingCommand.CancelAttempt(p.attempt(), p.upstream()));
    int start = commands.indexOf(lastCommandOfType(RoutingCommand.StartPrefill.class));
    assertThat(cancel).isAtLeast(0);
    assertThat(start).isGreaterThan(cancel);
  }

  @Test
  void cancelsAttemptsOfDeadIncarnations() {
    HostId removedHost = Fixtures.host(1);
    handle(
        new RoutingEvent.MembersChanged(
            List.of(Fixtures.member(0, OSLO), Fixtures.member(1, OSLO))));
    ReportedAttempt old = new ReportedAttempt("x.1", removedHost, 0);
    ReportedAttempt live = new ReportedAttempt("y.1", removedHost, 1);
    handle(new RoutingEvent.AttemptsListed(new UpstreamId("d0"), List.of(old, live)));
    assertThat(commandsOfType(RoutingCommand.CancelOrphanedAttempt.class))
        .containsExactly(new RoutingCommand.CancelOrphanedAttempt(old, new UpstreamId("d0")));

    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO))));
    handle(new RoutingEvent.AttemptsListed(new UpstreamId("d0"), List.of(live)));
    assertThat(commandsOfType(RoutingCommand.CancelOrphanedAttempt.class)).hasSize(2);
  }

  @Test
  void retriesOnTheSameEngineWhenThereIsNoOther() {
    handle(
        new RoutingEvent.ManifestApplied(
            2, Fixtures.manifest(Objective.CREST_AVERSE, Fixtures.enginePools(1, 1))));
    RoutingCommand.StartPrefill p = startPrefill("r1");
    handle(new RoutingEvent.PrefillFailed(p.attempt(), Failure.REFUSED));
    now += 200 * MILLI;
    handle(new RoutingEvent.TimerFired(new TimerKey("cell", "label/oslo/0")));

    assertThat(lastCommandOfType(RoutingCommand.StartPrefill.class).attempt().number())
        .isEqualTo(2);
  }

  @Test
  void usesAnEngineAgainSoonAfterAFailureIfItHasFinishedDecodesInBetween() {
    handle(
        new RoutingEvent.ManifestApplied(
            2, Fixtures.manifest(Objective.CREST_AVERSE, Fixtures.enginePools(1, 1))));
    for (int i = 0; i < 5; i++) {
      RoutingCommand.StartDecode good = finishPrefill(startPrefill("good" + i));
      handle(new RoutingEvent.DecodeStarted(good.attempt()));
      handle(new RoutingEvent.DecodeFinished(good.attempt()));
      RoutingCommand.StartDecode bad = finishPrefill(startPrefill("bad" + i));
      handle(new RoutingEvent.DecodeStarted(bad.attempt()));
      handle(new RoutingEvent.DecodeFailed(bad.attempt(), Failure.DISCONNECTED));
      handle(new RoutingEvent.CallerDisconnected(new RequestId("bad" + i)));
      advanceTime(1_100 * MILLI);
    }

    assertThat(startPrefill("next").attempt().request()).isEqualTo(new RequestId("next"));
  }

  @Test
  void usesAnEngineAgainSoonAfterSeveralOfItsCallsFailedTogether() {
    handle(
        new RoutingEvent.ManifestApplied(
            2, Fixtures.manifest(Objective.CREST_AVERSE, Fixtures.enginePools(1, 1))));
    List<RoutingCommand.StartDecode> decodes = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      decodes.add(finishPrefill(startPrefill("r" + i)));
    }
    decodes.forEach(d -> handle(new RoutingEvent.DecodeStarted(d.attempt())));
    for (RoutingCommand.StartDecode d : decodes) {
      handle(new RoutingEvent.DecodeFailed(d.attempt(), Failure.DISCONNECTED));
      handle(new RoutingEvent.CallerDisconnected(d.attempt().request()));
    }
    advanceTime(1_100 * MILLI);

    assertThat(startPrefill("next").attempt().request()).isEqualTo(new RequestId("next"));
  }

  @Test
  void runsPrefillAndDecodeOnAMixedEngineInOneSlot() {
    handle(
        new RoutingEvent.ManifestApplied(
            2,
            Fixtures.manifest(
                Objective.CREST_AVERSE,
                List.of(Fixtures.engine("m0", UpstreamRole.MIXED, "oslo-a", 2)))));
    RoutingCommand.StartDecode d = finishPrefill(startPrefill("r1"));
    assertThat(d.upstream()).isEqualTo(new UpstreamId("m0"));
    handle(new RoutingEvent.DecodeFinished(d.attempt()));

    // If a slot or memory were not released, one of these requests would be refused.
    for (int i = 0; i < 100; i++) {
      handle(new RoutingEvent.DecodeFinished(finishPrefill(startPrefill("s" + i)).attempt()));
    }
    assertThat(commandsOfType(RoutingCommand.Complete.class)).hasSize(101);
    assertNoOpenWork();
  }

  @Test
  void contactsTheOtherRegionWhenItsOwnHasNoCell() {
    NodeRouter bergen = bergenNode(Fixtures.enginePools(2, 2));
    bergen.handle(
        new RoutingEvent.RequestArrived(Fixtures.request("r1", 2000, now)), now, commands::add);

    assertThat(lastCommandOfType(RoutingCommand.SendPeerMessage.class).to())
        .isEqualTo(Fixtures.host(0));
    assertThat(
            commandsOfType(RoutingCommand.Explain.class).stream().map(RoutingCommand.Explain::rule))
        .contains("cross_region");
  }

  @Test
  void contactsTheOtherRegionFirstWhenItsOwnHasNoPrefillEngine() {
    List<Upstream> engines = new ArrayList<>(Fixtures.enginePools(2, 2));
    engines.add(Fixtures.engine("b0", UpstreamRole.DECODE_WITH_PROMPT, "bergen-a", 20));
    NodeRouter bergen = bergenNode(engines);
    bergen.handle(
        new RoutingEvent.RequestArrived(Fixtures.request("r1", 2000, now)), now, commands::add);

    assertThat(lastCommandOfType(RoutingCommand.SendPeerMessage.class).to())
        .isEqualTo(Fixtures.host(0));
    assertThat(lastCommandOfType(RoutingCommand.SendPeerMessage.class).message())
        .isInstanceOf(Reserve.class);
  }

  @Test
  void prefillsOnADecodeEngineWhenNoRegionHasPrefillEngines() {
    NodeRouter bergen =
        bergenNode(
            List.of(
                Fixtures.engine("d0", UpstreamRole.DECODE_WITH_PROMPT, "oslo-a", 20),
                Fixtures.engine("b0", UpstreamRole.DECODE_WITH_PROMPT, "bergen-a", 20)));
    bergen.handle(
        new RoutingEvent.RequestArrived(Fixtures.request("r1", 2000, now)), now, commands::add);

    assertThat(lastCommandOfType(RoutingCommand.StartPrefill.class).upstream())
        .isEqualTo(new UpstreamId("b0"));
  }

  private NodeRouter bergenNode(List<Upstream> engines) {
    NodeRouter bergen =
        new NodeRouter(Fixtures.host(1), Fixtures.BERGEN, 1, new SplittableRandom(1));
    bergen.handle(
        new RoutingEvent.MembersChanged(
            List.of(Fixtures.member(0, OSLO), Fixtures.member(1, Fixtures.BERGEN))),
        now,
        commands::add);
    bergen.handle(
        new RoutingEvent.ManifestApplied(1, Fixtures.manifest(Objective.CREST_AVERSE, engines)),
        now,
        commands::add);
    return bergen;
  }

  @Test
  void refusesRequestsBeyondTheCrossRegionByteBudget() {
    NodeRouter bergen = bergenNode(Fixtures.enginePools(2, 2));
    for (int i = 0; i < 6; i++) {
      // Each request has 120 kB; the budget of the region is 500 kB per second.
      GenerationRequest r = Fixtures.request("r" + i, 30_000, now);
      bergen.handle(new RoutingEvent.RequestArrived(r), now, commands::add);
    }
    assertThat(commandsOfType(RoutingCommand.Refuse.class)).hasSize(2);
  }

  @Test
  void movesTheReservationOfAStreamToTheNodeThatTakesOverItsCell() {
    NodeRouter second = new NodeRouter(Fixtures.host(1), OSLO, 1, new SplittableRandom(1));
    List<Member> both = List.of(Fixtures.member(0, OSLO), Fixtures.member(1, OSLO));
    second.handle(new RoutingEvent.MembersChanged(both), now, c -> {});
    second.handle(
        new RoutingEvent.ManifestApplied(
            1, Fixtures.manifest(Objective.CREST_AVERSE, Fixtures.enginePools(2, 2))),
        now,
        c -> {});
    RoutingCommand.StartDecode d = finishPrefill(startPrefill("r1"));
    handle(new RoutingEvent.DecodeStarted(d.attempt()));
    commands.clear();
    handle(new RoutingEvent.MembersChanged(both));
    List<PeerMessage> admission =
        commandsOfType(RoutingCommand.SendPeerMessage.class).stream()
            .map(RoutingCommand.SendPeerMessage::message)
            .filter(AdmissionMessage.class::isInstance)
            .toList();
    if (second.admittedEngines().isEmpty()) {
      assertThat(admission).isEmpty();
      assertThat(router.openReservations()).isEqualTo(1);
    } else {
      second.handle(
          new RoutingEvent.PeerMessageReceived(Fixtures.host(0), admission.getLast()),
          now,
          c -> {});
      assertThat(router.openReservations()).isEqualTo(0);
      assertThat(second.openReservations()).isEqualTo(1);
    }
  }

  private GenerationRequest nonResumableRequest(String id) {
    GenerationRequest r = Fixtures.request(id, 2000, now);
    return new GenerationRequest(
        r.id(),
        r.workspace(),
        r.model(),
        r.promptTokens(),
        r.maxOutputTokens(),
        r.promptBytes(),
        r.prefixBlocks(),
        r.fingerprint(),
        r.firstTokenDeadlineNanos(),
        r.finalDeadlineNanos(),
        false,
        1,
        r.maxOutputTokens(),
        List.of(),
        true,
        r.rank());
  }

  @Test
  void doesNotRepeatANonResumableGenerationThatMayHaveStarted() {
    handle(new RoutingEvent.RequestArrived(nonResumableRequest("r1")));
    RoutingCommand.StartDecode d =
        finishPrefill(lastCommandOfType(RoutingCommand.StartPrefill.class));
    handle(new RoutingEvent.DecodeFailed(d.attempt(), Failure.DISCONNECTED));

    assertThat(commandsOfType(RoutingCommand.StartDecode.class)).hasSize(1);
    assertThat(lastCommandOfType(RoutingCommand.Refuse.class).code())
        .isEqualTo(ErrorCode.UPSTREAM_FAILED);
    assertNoOpenWork();
  }

  @Test
  void repeatsANonResumableGenerationThatItsEngineRefused() {
    handle(new RoutingEvent.RequestArrived(nonResumableRequest("r1")));
    RoutingCommand.StartDecode d =
        finishPrefill(lastCommandOfType(RoutingCommand.StartPrefill.class));
    handle(new RoutingEvent.DecodeFailed(d.attempt(), Failure.REFUSED));

    assertThat(commandsOfType(RoutingCommand.StartDecode.class)).hasSize(2);
    assertThat(commandsOfType(RoutingCommand.Refuse.class)).isEmpty();
  }

  @Test
  void doesNotCancelANonResumableGenerationOnAStalledEngine() {
    handle(new RoutingEvent.RequestArrived(nonResumableRequest("r1")));
    RoutingCommand.StartDecode d =
        finishPrefill(lastCommandOfType(RoutingCommand.StartPrefill.class));
    handle(new RoutingEvent.DecodeStarted(d.attempt()));
    for (int i = 0; i < 20; i++) {
      now += 500 * MILLI;
      handle(new RoutingEvent.TimerFired(new TimerKey(RequestCoordinator.TIMER_KIND, "r1")));
    }

    assertThat(commandsOfType(RoutingCommand.CancelAttempt.class)).isEmpty();
    assertThat(commandsOfType(RoutingCommand.Refuse.class)).isEmpty();
  }

  @Test
  void leavesANonResumableGenerationToItsEngineAfterALongPause() {
    handle(new RoutingEvent.RequestArrived(nonResumableRequest("r1")));
    RoutingCommand.StartDecode d =
        finishPrefill(lastCommandOfType(RoutingCommand.StartPrefill.class));
    handle(new RoutingEvent.DecodeStarted(d.attempt()));
    commands.clear();

    now += 7 * SECOND;
    handle(new RoutingEvent.TokensArrived(d.attempt(), 40));
    now += SECOND / 4;
    handle(new RoutingEvent.TimerFired(new TimerKey(RequestCoordinator.TIMER_KIND, "r1")));
    handle(new RoutingEvent.DecodeFinished(d.attempt()));

    assertThat(commandsOfType(RoutingCommand.StartPrefill.class)).isEmpty();
    assertThat(commandsOfType(RoutingCommand.CancelAttempt.class)).isEmpty();
    assertThat(commandsOfType(RoutingCommand.Complete.class)).hasSize(1);
  }

  private void applyReservableManifest() {
    Manifest m = Fixtures.manifest(Objective.WASTE_AVERSE, Fixtures.enginePools(2, 2));
    Model model = m.models().getFirst();
    Model reservable =
        new Model(
            model.id(),
            model.firstTokenTarget(),
            model.tokenGapTarget(),
            model.maxPromptTokens(),
            model.kvBytesPerToken(),
            model.memoryPieceTokens(),
            true);
    handle(
        new RoutingEvent.ManifestApplied(
            2,
            new Manifest(
                m.name(),
                m.objective(),
                m.regions(),
                m.link(),
                m.workspaces(),
                List.of(reservable),
                m.upstreams(),
                m.routes(),
                m.ledger(),
                m.limits())));
  }

  @Test
  void startsNoPrefillBeforeADecodeEngineReservedASlot() {
    applyReservableManifest();
    handle(new RoutingEvent.RequestArrived(Fixtures.request("r1", 2000, now)));
    RoutingCommand.ReserveEngine first = lastCommandOfType(RoutingCommand.ReserveEngine.class);
    assertThat(commandsOfType(RoutingCommand.StartPrefill.class)).isEmpty();

    handle(new RoutingEvent.EngineReservationFailed(first.attempt(), Failure.REFUSED));
    RoutingCommand.ReserveEngine second = lastCommandOfType(RoutingCommand.ReserveEngine.class);
    assertThat(second.upstream()).isNotEqualTo(first.upstream());
    assertThat(commandsOfType(RoutingCommand.StartPrefill.class)).isEmpty();

    handle(new RoutingEvent.EngineReserved(second.attempt()));
    assertThat(lastCommandOfType(RoutingCommand.StartPrefill.class).attempt())
        .isEqualTo(second.attempt());
  }

  @Test
  void cancelsTheEngineReservationWhenTheCallerDisconnects() {
    applyReservableManifest();
    handle(new RoutingEvent.RequestArrived(Fixtures.request("r1", 2000, now)));
    RoutingCommand.ReserveEngine r = lastCommandOfType(RoutingCommand.ReserveEngine.class);
    handle(new RoutingEvent.EngineReserved(r.attempt()));
    handle(new RoutingEvent.CallerDisconnected(new RequestId("r1")));

    assertThat(lastCommandOfType(RoutingCommand.CancelAttempt.class).attempt())
        .isEqualTo(r.attempt());
    assertNoOpenWork();
  }

  private void advanceTime(long nanos) {
    long end = now + nanos;
    while (now < end) {
      now += 100 * MILLI;
      handle(new RoutingEvent.TimerFired(new TimerKey("tick", Fixtures.host(0).value())));
    }
  }

  @Test
  void acceptsRequestsAgainSoonAfterSlowTransfers() {
    for (int i = 0; i < 8; i++) {
      RoutingCommand.StartDecode d = finishPrefill(startPrefill("slow" + i));
      now += 1_500 * MILLI;
      handle(new RoutingEvent.DecodeStarted(d.attempt()));
      handle(new RoutingEvent.DecodeFinished(d.attempt()));
    }
    advanceTime(2 * SECOND);
    int before = commandsOfType(RoutingCommand.StartPrefill.class).size();

    handle(new RoutingEvent.RequestArrived(Fixtures.request("later", 2000, now)));

    assertThat(commandsOfType(RoutingCommand.StartPrefill.class)).hasSize(before + 1);
  }

  @Test
  void startsNothingOnAnEngineThatIsLeavingByItsOwnManifest() {
    List<Upstream> engines = Fixtures.enginePools(2, 2);
    Upstream p = engines.getFirst();
    engines.set(
        0,
        new Upstream(
            p.id(),
            p.role(),
            p.model(),
            p.zone(),
            p.url(),
            p.slots(),
            p.prefillTokensPerSecond(),
            p.memoryPieces(),
            p.checksFencing(),
            true));
    handle(new RoutingEvent.ManifestApplied(2, Fixtures.manifest(Objective.CREST_AVERSE, engines)));
    Member other = null;
    for (int i = 1; other == null; i++) {
      Member candidate = Fixtures.member(i, OSLO);
      handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO), candidate)));
      handle(new RoutingEvent.RequestArrived(Fixtures.request("r" + i, 2000, now)));
      boolean asked =
          commandsOfType(RoutingCommand.SendPeerMessage.class).stream()
              .anyMatch(c -> c.message() instanceof Reserve);
      other = asked ? candidate : null;
    }
    Reserve reserve =
        (Reserve)
            commandsOfType(RoutingCommand.SendPeerMessage.class).stream()
                .map(RoutingCommand.SendPeerMessage::message)
                .filter(m -> m instanceof Reserve)
                .toList()
                .getLast();
    commands.clear();

    // The other node does not know yet that the engine is leaving.
    handle(
        new RoutingEvent.PeerMessageReceived(
            other.host(),
            new ReserveGranted(
                reserve.attempt(),
                p.id(),
                new UpstreamId("d0"),
                SECOND,
                new CellSummary(reserve.cell(), 1, 0))));

    assertThat(commandsOfType(RoutingCommand.StartPrefill.class)).isEmpty();
  }
}
