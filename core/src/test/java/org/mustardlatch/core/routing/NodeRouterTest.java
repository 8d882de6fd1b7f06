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
import org.mustardlatch.core.peer.AdmissionMessage.Reserve;

class NodeRouterTest {
  private final List<RoutingCommand> commands = new ArrayList<>();
  private NodeRouter router;
  private long now = 1000 * SECOND;

  @BeforeEach
  void startsOneNodeWithTwoPrefillAndTwoDecodeEngines() {
    router = new NodeRouter(Fixtures.host(0), OSLO, 1, new SplittableRandom(1));
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO))));
    handle(
        new RoutingEvent.ManifestApplied(
            1, Fixtures.manifest(Objective.CREST_AVERSE, Fixtures.pools(2, 2))));
  }

  private void handle(RoutingEvent event) {
    router.handle(event, now, commands::add);
  }

  private <T> List<T> all(Class<T> type) {
    return commands.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private <T> T last(Class<T> type) {
    return all(type).getLast();
  }

  private RoutingCommand.StartPrefill arrive(String id) {
    handle(new RoutingEvent.RequestArrived(Fixtures.request(id, 2000, now)));
    return last(RoutingCommand.StartPrefill.class);
  }

  private KvHandle kv(UpstreamId source) {
    return new KvHandle(source, "kv", 1000, now + Fixtures.KV_LIFE);
  }

  private RoutingCommand.StartDecode prefilled(RoutingCommand.StartPrefill p) {
    now += 200 * MILLI;
    handle(new RoutingEvent.PrefillFinished(p.attempt(), kv(p.upstream())));
    return last(RoutingCommand.StartDecode.class);
  }

  private void assertNothingLeft() {
    assertThat(router.openRequests()).isEqualTo(0);
    assertThat(router.openReservations()).isEqualTo(0);
  }

  @Test
  void carriesARequestFromArrivalToItsAnswer() {
    RoutingCommand.StartDecode d = prefilled(arrive("r1"));
    handle(new RoutingEvent.DecodeStarted(d.attempt()));
    handle(new RoutingEvent.TokensArrived(d.attempt(), 3));
    handle(new RoutingEvent.DecodeFinished(d.attempt()));

    assertThat(all(RoutingCommand.Complete.class)).hasSize(1);
    assertThat(all(RoutingCommand.SendPeer.class)).isEmpty();
    assertNothingLeft();
  }

  @Test
  void cancelsThePrefillWhenTheCallerLeaves() {
    RoutingCommand.StartPrefill p = arrive("r1");
    handle(new RoutingEvent.CallerGone(new RequestId("r1")));

    assertThat(all(RoutingCommand.CancelAttempt.class))
        .containsExactly(new RoutingCommand.CancelAttempt(p.attempt(), p.upstream()));
    assertThat(all(RoutingCommand.Refuse.class)).isEmpty();
    assertNothingLeft();
  }

  @Test
  void releasesTheKvCacheOfAPrefillThatEndsAfterItsCallerLeft() {
    RoutingCommand.StartPrefill p = arrive("r1");
    handle(new RoutingEvent.CallerGone(new RequestId("r1")));
    handle(new RoutingEvent.PrefillFinished(p.attempt(), kv(p.upstream())));

    assertThat(all(RoutingCommand.ReleaseKv.class)).hasSize(1);
  }

  @Test
  void givesTheKvCacheToAnotherDecodeEngineWhenTheFirstRefuses() {
    RoutingCommand.StartDecode first = prefilled(arrive("r1"));
    handle(new RoutingEvent.DecodeFailed(first.attempt(), Failure.REFUSED));
    RoutingCommand.StartDecode second = last(RoutingCommand.StartDecode.class);

    assertThat(second.upstream()).isNotEqualTo(first.upstream());
    assertThat(second.handle()).isEqualTo(first.handle());
    assertThat(all(RoutingCommand.StartPrefill.class)).hasSize(1);
  }

  @Test
  void continuesAStreamAfterItsDecodeEngineDied() {
    RoutingCommand.StartDecode d = prefilled(arrive("r1"));
    handle(new RoutingEvent.DecodeStarted(d.attempt()));
    handle(new RoutingEvent.TokensArrived(d.attempt(), 7));
    handle(new RoutingEvent.DecodeFailed(d.attempt(), Failure.CRASHED));
    RoutingCommand.StartDecode next = prefilled(last(RoutingCommand.StartPrefill.class));

    assertThat(next.attempt()).isEqualTo(new AttemptId(new RequestId("r1"), 2));
    assertThat(next.resumeFrom()).isEqualTo(7);
    assertThat(next.upstream()).isNotEqualTo(d.upstream());
  }

  @Test
  void ignoresTokensOfAnAttemptThatWasReplaced() {
    RoutingCommand.StartDecode d = prefilled(arrive("r1"));
    handle(new RoutingEvent.DecodeFailed(d.attempt(), Failure.REFUSED));
    handle(new RoutingEvent.DecodeFinished(d.attempt()));

    assertThat(all(RoutingCommand.Complete.class)).isEmpty();
  }

  @Test
  void aLatePrefillGoesOnWhenNoOtherEngineCanTakeIt() {
    wasteAverse(1);
    RoutingCommand.StartPrefill p = arrive("r1");
    passLateTime();

    assertThat(all(RoutingCommand.CancelAttempt.class)).isEmpty();
    RoutingCommand.StartDecode d = prefilled(p);
    assertThat(d.attempt()).isEqualTo(p.attempt());
  }

  @Test
  void aLatePrefillIsCancelledOnceAnotherEngineHasTakenIt() {
    wasteAverse(2);
    RoutingCommand.StartPrefill p = arrive("r1");
    passLateTime();

    assertThat(all(RoutingCommand.CancelAttempt.class))
        .containsExactly(new RoutingCommand.CancelAttempt(p.attempt(), p.upstream()));
    assertThat(last(RoutingCommand.StartPrefill.class).upstream()).isNotEqualTo(p.upstream());
  }

  @Test
  void requestsBehindASlowPrefillOfTheOnlyEngineWaitInsteadOfBeingRefused() {
    wasteAverse(1);
    arrive("r1");
    now += 600 * MILLI;
    handle(new RoutingEvent.RequestArrived(Fixtures.request("r2", 100, now)));

    assertThat(all(RoutingCommand.Refuse.class)).isEmpty();
  }

  @Test
  void aPoolThatWasSlowOnceServesLongPromptsAgain() {
    wasteAverse(1);
    RoutingCommand.StartPrefill slow = arrive("r1");
    now += 3000 * MILLI;
    handle(new RoutingEvent.PrefillFinished(slow.attempt(), kv(slow.upstream())));
    handle(new RoutingEvent.RequestArrived(Fixtures.request("r2", 2000, now)));
    assertThat(all(RoutingCommand.Refuse.class)).isNotEmpty();

    for (int i = 0; i < 300; i++) {
      now += 100 * MILLI;
      tick();
    }
    int refused = all(RoutingCommand.Refuse.class).size();
    RoutingCommand.StartPrefill next = arrive("r3");
    assertThat(next.attempt().request()).isEqualTo(new RequestId("r3"));
    assertThat(all(RoutingCommand.Refuse.class)).hasSize(refused);
  }

  private void tick() {
    RoutingCommand.SetTimer timer =
        all(RoutingCommand.SetTimer.class).stream()
            .filter(t -> t.key().kind().equals("tick"))
            .reduce((a, b) -> b)
            .orElseThrow();
    handle(new RoutingEvent.TimerFired(timer.key()));
  }

  private void wasteAverse(int prefillEngines) {
    handle(
        new RoutingEvent.ManifestApplied(
            2, Fixtures.manifest(Objective.WASTE_AVERSE, Fixtures.pools(prefillEngines, 2))));
  }

  /** Fires the request's timer when its prefill has taken twice its predicted time. */
  private void passLateTime() {
    RoutingCommand.SetTimer timer =
        all(RoutingCommand.SetTimer.class).stream()
            .filter(t -> t.key().subject().equals("r1"))
            .reduce((a, b) -> b)
            .orElseThrow();
    now = Math.max(now, timer.atNanos());
    handle(new RoutingEvent.TimerFired(timer.key()));
  }

  @Test
  void refusesAtOnceWhenTheDeadlineCannotBeMet() {
    for (int i = 0; i < 60; i++) {
      handle(new RoutingEvent.RequestArrived(Fixtures.request("r" + i, 2000, now)));
    }
    List<RoutingCommand.Refuse> refusals = all(RoutingCommand.Refuse.class);

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
      RoutingCommand.StartDecode d = prefilled(arrive("r" + i));
      assertThat(d.handle().source()).isEqualTo(new UpstreamId("p1"));
      assertThat(d.upstream()).isEqualTo(new UpstreamId("d0"));
    }
  }

  @Test
  void refusesNewRequestsWhileDrainingAndFinishesOldOnes() {
    RoutingCommand.StartPrefill p = arrive("r1");
    handle(new RoutingEvent.DrainRequested());
    handle(new RoutingEvent.RequestArrived(Fixtures.request("r2", 2000, now)));
    assertThat(last(RoutingCommand.Refuse.class).code()).isEqualTo(ErrorCode.DRAINING);

    RoutingCommand.StartDecode d = prefilled(p);
    handle(new RoutingEvent.DecodeFinished(d.attempt()));
    assertThat(all(RoutingCommand.Complete.class)).hasSize(1);
  }

  @Test
  void cancelsItsOwnAttemptsAfterALongPauseBeforeNewWork() {
    RoutingCommand.StartPrefill p = arrive("r1");
    commands.clear();
    now += 7 * SECOND;
    handle(new RoutingEvent.RequestArrived(Fixtures.request("r2", 2000, now)));

    now += SECOND / 4;
    handle(new RoutingEvent.TimerFired(new TimerKey("request", "r2")));

    assertThat(router.incarnation()).isEqualTo(2);
    int cancel = commands.indexOf(new RoutingCommand.CancelAttempt(p.attempt(), p.upstream()));
    int start = commands.indexOf(last(RoutingCommand.StartPrefill.class));
    assertThat(cancel).isAtLeast(0);
    assertThat(start).isGreaterThan(cancel);
  }

  @Test
  void cancelsWhatEnginesHoldForDeadIncarnations() {
    HostId gone = Fixtures.host(1);
    handle(
        new RoutingEvent.MembersChanged(
            List.of(Fixtures.member(0, OSLO), Fixtures.member(1, OSLO))));
    ReportedAttempt old = new ReportedAttempt("x.1", gone, 0);
    ReportedAttempt live = new ReportedAttempt("y.1", gone, 1);
    handle(new RoutingEvent.HeldAttemptsListed(new UpstreamId("d0"), List.of(old, live)));
    assertThat(all(RoutingCommand.CancelHeld.class))
        .containsExactly(new RoutingCommand.CancelHeld(old, new UpstreamId("d0")));

    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO))));
    handle(new RoutingEvent.HeldAttemptsListed(new UpstreamId("d0"), List.of(live)));
    assertThat(all(RoutingCommand.CancelHeld.class)).hasSize(2);
  }

  @Test
  void retriesOnTheSameEngineWhenThereIsNoOther() {
    handle(
        new RoutingEvent.ManifestApplied(
            2, Fixtures.manifest(Objective.CREST_AVERSE, Fixtures.pools(1, 1))));
    RoutingCommand.StartPrefill p = arrive("r1");
    handle(new RoutingEvent.PrefillFailed(p.attempt(), Failure.REFUSED));
    now += 200 * MILLI;
    handle(new RoutingEvent.TimerFired(new TimerKey("cell", "label/oslo/0")));

    assertThat(last(RoutingCommand.StartPrefill.class).attempt().number()).isEqualTo(2);
  }

  @Test
  void givesAMixedEngineBothHalvesInOneSlot() {
    handle(
        new RoutingEvent.ManifestApplied(
            2,
            Fixtures.manifest(
                Objective.CREST_AVERSE,
                List.of(Fixtures.engine("m0", UpstreamRole.MIXED, "oslo-a", 2)))));
    RoutingCommand.StartDecode d = prefilled(arrive("r1"));
    assertThat(d.upstream()).isEqualTo(new UpstreamId("m0"));
    handle(new RoutingEvent.DecodeFinished(d.attempt()));

    // A slot or memory that was not given back would refuse one of these.
    for (int i = 0; i < 100; i++) {
      handle(new RoutingEvent.DecodeFinished(prefilled(arrive("s" + i)).attempt()));
    }
    assertThat(all(RoutingCommand.Complete.class)).hasSize(101);
    assertNothingLeft();
  }

  @Test
  void asksTheOtherRegionOnlyWhenItsOwnHasNoCell() {
    NodeRouter remote = bergenNode(Fixtures.pools(2, 2));
    remote.handle(
        new RoutingEvent.RequestArrived(Fixtures.request("r1", 2000, now)), now, commands::add);

    assertThat(last(RoutingCommand.SendPeer.class).to()).isEqualTo(Fixtures.host(0));
    assertThat(all(RoutingCommand.Explain.class).stream().map(RoutingCommand.Explain::rule))
        .contains("cross_region");
  }

  @Test
  void asksTheOtherRegionFirstWhenItsOwnHasLostItsPrefillEngines() {
    List<Upstream> engines = new ArrayList<>(Fixtures.pools(2, 2));
    engines.add(Fixtures.engine("b0", UpstreamRole.DECODE_WITH_PROMPT, "bergen-a", 20));
    NodeRouter bergen = bergenNode(engines);
    bergen.handle(
        new RoutingEvent.RequestArrived(Fixtures.request("r1", 2000, now)), now, commands::add);

    assertThat(last(RoutingCommand.SendPeer.class).to()).isEqualTo(Fixtures.host(0));
    assertThat(last(RoutingCommand.SendPeer.class).message()).isInstanceOf(Reserve.class);
  }

  @Test
  void processesPromptsOnDecodeEnginesWhenNoRegionHasPrefillEngines() {
    NodeRouter bergen =
        bergenNode(
            List.of(
                Fixtures.engine("d0", UpstreamRole.DECODE_WITH_PROMPT, "oslo-a", 20),
                Fixtures.engine("b0", UpstreamRole.DECODE_WITH_PROMPT, "bergen-a", 20)));
    bergen.handle(
        new RoutingEvent.RequestArrived(Fixtures.request("r1", 2000, now)), now, commands::add);

    assertThat(last(RoutingCommand.StartPrefill.class).upstream()).isEqualTo(new UpstreamId("b0"));
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
  void refusesToCrossWithoutByteBudget() {
    NodeRouter remote = bergenNode(Fixtures.pools(2, 2));
    for (int i = 0; i < 6; i++) {
      // 120 kB each; the budget of the region is 500 kB a second.
      GenerationRequest r = Fixtures.request("r" + i, 30_000, now);
      remote.handle(new RoutingEvent.RequestArrived(r), now, commands::add);
    }
    assertThat(all(RoutingCommand.Refuse.class)).hasSize(2);
  }

  @Test
  void movesTheReservationOfAStreamToTheNodeThatTakesItsCellOver() {
    NodeRouter second = new NodeRouter(Fixtures.host(1), OSLO, 1, new SplittableRandom(1));
    List<Member> both = List.of(Fixtures.member(0, OSLO), Fixtures.member(1, OSLO));
    second.handle(new RoutingEvent.MembersChanged(both), now, c -> {});
    second.handle(
        new RoutingEvent.ManifestApplied(
            1, Fixtures.manifest(Objective.CREST_AVERSE, Fixtures.pools(2, 2))),
        now,
        c -> {});
    RoutingCommand.StartDecode d = prefilled(arrive("r1"));
    handle(new RoutingEvent.DecodeStarted(d.attempt()));
    commands.clear();
    handle(new RoutingEvent.MembersChanged(both));
    if (second.admittedEngines().isEmpty()) {
      assertThat(all(RoutingCommand.SendPeer.class)).isEmpty();
      assertThat(router.openReservations()).isEqualTo(1);
    } else {
      RoutingCommand.SendPeer renew = last(RoutingCommand.SendPeer.class);
      second.handle(new RoutingEvent.PeerReceived(Fixtures.host(0), renew.message()), now, c -> {});
      assertThat(router.openReservations()).isEqualTo(0);
      assertThat(second.openReservations()).isEqualTo(1);
    }
  }

  private GenerationRequest once(String id) {
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
        r.maxOutputTokens());
  }

  @Test
  void doesNotRepeatAGenerationThatMayHaveBegunAndMustRunOnce() {
    handle(new RoutingEvent.RequestArrived(once("r1")));
    RoutingCommand.StartDecode d = prefilled(last(RoutingCommand.StartPrefill.class));
    handle(new RoutingEvent.DecodeFailed(d.attempt(), Failure.DISCONNECTED));

    assertThat(all(RoutingCommand.StartDecode.class)).hasSize(1);
    assertThat(last(RoutingCommand.Refuse.class).code()).isEqualTo(ErrorCode.UPSTREAM_FAILED);
    assertNothingLeft();
  }

  @Test
  void repeatsAGenerationThatMustRunOnceWhenItsEngineRefusedIt() {
    handle(new RoutingEvent.RequestArrived(once("r1")));
    RoutingCommand.StartDecode d = prefilled(last(RoutingCommand.StartPrefill.class));
    handle(new RoutingEvent.DecodeFailed(d.attempt(), Failure.REFUSED));

    assertThat(all(RoutingCommand.StartDecode.class)).hasSize(2);
    assertThat(all(RoutingCommand.Refuse.class)).isEmpty();
  }

  @Test
  void doesNotEndAGenerationThatMustRunOnceBecauseItsEngineIsSilent() {
    handle(new RoutingEvent.RequestArrived(once("r1")));
    RoutingCommand.StartDecode d = prefilled(last(RoutingCommand.StartPrefill.class));
    handle(new RoutingEvent.DecodeStarted(d.attempt()));
    for (int i = 0; i < 20; i++) {
      now += 500 * MILLI;
      handle(new RoutingEvent.TimerFired(new TimerKey(EntrySide.TIMER, "r1")));
    }

    assertThat(all(RoutingCommand.CancelAttempt.class)).isEmpty();
    assertThat(all(RoutingCommand.Refuse.class)).isEmpty();
  }

  private void makeReservable() {
    Manifest m = Fixtures.manifest(Objective.WASTE_AVERSE, Fixtures.pools(2, 2));
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
  void spendsNoPrefillBeforeADecodeEngineHasReservedRoom() {
    makeReservable();
    handle(new RoutingEvent.RequestArrived(Fixtures.request("r1", 2000, now)));
    RoutingCommand.ReserveEngine first = last(RoutingCommand.ReserveEngine.class);
    assertThat(all(RoutingCommand.StartPrefill.class)).isEmpty();

    handle(new RoutingEvent.EngineNotReserved(first.attempt(), Failure.REFUSED));
    RoutingCommand.ReserveEngine second = last(RoutingCommand.ReserveEngine.class);
    assertThat(second.upstream()).isNotEqualTo(first.upstream());
    assertThat(all(RoutingCommand.StartPrefill.class)).isEmpty();

    handle(new RoutingEvent.EngineReserved(second.attempt()));
    assertThat(last(RoutingCommand.StartPrefill.class).attempt()).isEqualTo(second.attempt());
  }

  @Test
  void givesTheReservedRoomBackWhenTheCallerLeaves() {
    makeReservable();
    handle(new RoutingEvent.RequestArrived(Fixtures.request("r1", 2000, now)));
    RoutingCommand.ReserveEngine r = last(RoutingCommand.ReserveEngine.class);
    handle(new RoutingEvent.EngineReserved(r.attempt()));
    handle(new RoutingEvent.CallerGone(new RequestId("r1")));

    assertThat(last(RoutingCommand.CancelAttempt.class).attempt()).isEqualTo(r.attempt());
    assertNothingLeft();
  }

  private void passTime(long nanos) {
    long end = now + nanos;
    while (now < end) {
      now += 100 * MILLI;
      handle(new RoutingEvent.TimerFired(new TimerKey("tick", Fixtures.host(0).value())));
    }
  }

  @Test
  void takesRequestsAgainSoonAfterTransfersThatWereSlow() {
    for (int i = 0; i < 8; i++) {
      RoutingCommand.StartDecode d = prefilled(arrive("slow" + i));
      now += 1_500 * MILLI;
      handle(new RoutingEvent.DecodeStarted(d.attempt()));
      handle(new RoutingEvent.DecodeFinished(d.attempt()));
    }
    passTime(2 * SECOND);
    int before = all(RoutingCommand.StartPrefill.class).size();

    handle(new RoutingEvent.RequestArrived(Fixtures.request("later", 2000, now)));

    assertThat(all(RoutingCommand.StartPrefill.class)).hasSize(before + 1);
  }
}
