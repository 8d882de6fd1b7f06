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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.core.manifest.Objective;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;

/**
 * Guards against streams that are taken from an engine that is only slow, when no other engine
 * continues them: they would be broken off although their engine would have finished them.
 */
class StalledStreamMoverTest {
  private static final TimerKey REQUEST_TIMER = new TimerKey(RequestCoordinator.TIMER_KIND, "r1");

  private final List<RoutingCommand> commands = new ArrayList<>();
  private NodeRouter router;
  private long now = 1000 * SECOND;

  @BeforeEach
  void createRouter() {
    router = new NodeRouter(Fixtures.host(0), OSLO, 1, new SplittableRandom(1));
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO))));
  }

  private void handle(RoutingEvent event) {
    router.handle(event, now, commands::add);
  }

  private void applyManifest(int decodeEngines, boolean reservable) {
    Manifest m = Fixtures.manifest(Objective.WASTE_AVERSE, Fixtures.enginePools(2, decodeEngines));
    Model model = m.models().getFirst();
    Model changed =
        new Model(
            model.id(),
            model.firstTokenTarget(),
            model.tokenGapTarget(),
            model.maxPromptTokens(),
            model.kvBytesPerToken(),
            model.memoryPieceTokens(),
            reservable);
    handle(
        new RoutingEvent.ManifestApplied(
            2,
            new Manifest(
                m.name(),
                m.objective(),
                m.regions(),
                m.link(),
                m.workspaces(),
                List.of(changed),
                m.upstreams(),
                m.routes(),
                m.ledger(),
                m.limits())));
  }

  private <T> List<T> commandsOfType(Class<T> type) {
    return commands.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private <T> T lastCommandOfType(Class<T> type) {
    return commandsOfType(type).getLast();
  }

  private static GenerationRequest request(long now, int maxRuns) {
    GenerationRequest r = Fixtures.request("r1", 2000, now);
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
        true,
        maxRuns,
        r.maxOutputTokens(),
        List.of(),
        true,
        r.rank());
  }

  private void reserveIfRequested() {
    for (RoutingCommand.ReserveEngine r : commandsOfType(RoutingCommand.ReserveEngine.class)) {
      handle(new RoutingEvent.EngineReserved(r.attempt()));
    }
  }

  private RoutingCommand.StartDecode finishPrefill(RoutingCommand.StartPrefill p) {
    now += 200 * MILLI;
    var kv = new KvHandle(p.upstream(), "kv", 1000, now + Fixtures.KV_LIFETIME);
    handle(new RoutingEvent.PrefillFinished(p.attempt(), kv));
    return lastCommandOfType(RoutingCommand.StartDecode.class);
  }

  private RoutingCommand.StartDecode startDecode(int maxRuns) {
    handle(new RoutingEvent.RequestArrived(request(now, maxRuns)));
    reserveIfRequested();
    return finishPrefill(lastCommandOfType(RoutingCommand.StartPrefill.class));
  }

  /** Starts a stream of which 7 tokens have arrived. */
  private RoutingCommand.StartDecode startStream(int maxRuns) {
    RoutingCommand.StartDecode d = startDecode(maxRuns);
    handle(new RoutingEvent.DecodeStarted(d.attempt()));
    handle(new RoutingEvent.TokensArrived(d.attempt(), 7));
    return d;
  }

  private void passSilently(long nanos) {
    long end = now + nanos;
    while (now < end) {
      now += 100 * MILLI;
      handle(new RoutingEvent.TimerFired(REQUEST_TIMER));
    }
  }

  private void assertStreamStays(RoutingCommand.StartDecode d) {
    assertThat(
            commandsOfType(RoutingCommand.CancelAttempt.class).stream()
                .filter(c -> c.attempt().equals(d.attempt())))
        .isEmpty();
    assertThat(commandsOfType(RoutingCommand.Refuse.class)).isEmpty();
    handle(new RoutingEvent.TokensArrived(d.attempt(), 1));
    handle(new RoutingEvent.DecodeFinished(d.attempt()));
    assertThat(commandsOfType(RoutingCommand.Complete.class)).hasSize(1);
    assertThat(router.openReservations()).isEqualTo(0);
  }

  @Test
  void staysWhenNoOtherEngineExists() {
    applyManifest(1, false);
    RoutingCommand.StartDecode d = startStream(3);
    passSilently(6 * SECOND);

    assertStreamStays(d);
  }

  @Test
  void staysWhenOtherEnginesRefuseToReserve() {
    applyManifest(3, true);
    RoutingCommand.StartDecode d = startStream(3);
    for (int i = 0; i < 20; i++) {
      passSilently(500 * MILLI);
      RoutingCommand.ReserveEngine r = lastCommandOfType(RoutingCommand.ReserveEngine.class);
      if (!r.attempt().equals(d.attempt())) {
        handle(new RoutingEvent.EngineReservationFailed(r.attempt(), Failure.REFUSED));
      }
    }

    assertThat(commandsOfType(RoutingCommand.ReserveEngine.class).size()).isGreaterThan(1);
    assertThat(commandsOfType(RoutingCommand.StartPrefill.class)).hasSize(1);
    assertStreamStays(d);
  }

  @Test
  void staysInItsLastPermittedRun() {
    applyManifest(2, false);
    RoutingCommand.StartDecode d = startStream(1);
    passSilently(6 * SECOND);

    assertStreamStays(d);
  }

  @Test
  void staysWhenEventsArriveBeforeTheReplacementIsReady() {
    applyManifest(2, false);
    RoutingCommand.StartDecode d = startStream(3);
    passSilently(2_500 * MILLI);
    RoutingCommand.StartPrefill replacement = lastCommandOfType(RoutingCommand.StartPrefill.class);
    assertThat(replacement.attempt()).isNotEqualTo(d.attempt());

    handle(new RoutingEvent.TokensArrived(d.attempt(), 1));

    assertThat(commandsOfType(RoutingCommand.CancelAttempt.class))
        .containsExactly(
            new RoutingCommand.CancelAttempt(replacement.attempt(), replacement.upstream()));
    assertStreamStays(d);
  }

  private RoutingCommand.StartDecode requestReplacement() {
    passSilently(2_500 * MILLI);
    return finishPrefill(lastCommandOfType(RoutingCommand.StartPrefill.class));
  }

  @ParameterizedTest
  @EnumSource(Failure.class)
  void staysWhenTheEngineOfTheReplacementFails(Failure failure) {
    applyManifest(2, false);
    RoutingCommand.StartDecode d = startStream(3);
    RoutingCommand.StartDecode replacement = requestReplacement();
    assertThat(replacement.attempt()).isNotEqualTo(d.attempt());

    handle(new RoutingEvent.DecodeFailed(replacement.attempt(), failure));

    assertStreamStays(d);
  }

  @Test
  void staysWhenEventsArriveBeforeTheReplacementIsAccepted() {
    applyManifest(2, false);
    RoutingCommand.StartDecode d = startStream(3);
    RoutingCommand.StartDecode replacement = requestReplacement();

    handle(new RoutingEvent.TokensArrived(d.attempt(), 1));

    assertThat(commandsOfType(RoutingCommand.CancelAttempt.class))
        .containsExactly(
            new RoutingCommand.CancelAttempt(replacement.attempt(), replacement.upstream()));
    assertThat(commandsOfType(RoutingCommand.ReleaseKv.class))
        .containsExactly(new RoutingCommand.ReleaseKv(replacement.handle()));
    assertStreamStays(d);
  }

  @Test
  void staysWhenTheEngineOfTheReplacementIsSilentToo() {
    applyManifest(2, false);
    RoutingCommand.StartDecode d = startStream(3);
    RoutingCommand.StartDecode replacement = requestReplacement();

    passSilently(2_500 * MILLI);

    assertThat(commandsOfType(RoutingCommand.CancelAttempt.class))
        .containsExactly(
            new RoutingCommand.CancelAttempt(replacement.attempt(), replacement.upstream()));
    assertStreamStays(d);
  }

  @Test
  void movesOnceTheReplacementIsAccepted() {
    applyManifest(2, true);
    RoutingCommand.StartDecode d = startStream(2);
    while (commandsOfType(RoutingCommand.ReserveEngine.class).size() == 1) {
      passSilently(100 * MILLI);
    }
    reserveIfRequested();
    assertThat(commandsOfType(RoutingCommand.CancelAttempt.class)).isEmpty();

    RoutingCommand.StartDecode next =
        finishPrefill(lastCommandOfType(RoutingCommand.StartPrefill.class));
    assertThat(next.upstream()).isNotEqualTo(d.upstream());
    assertThat(next.resumeFrom()).isEqualTo(7);
    assertThat(commandsOfType(RoutingCommand.CancelAttempt.class)).isEmpty();

    handle(new RoutingEvent.DecodeStarted(next.attempt()));

    assertThat(commandsOfType(RoutingCommand.CancelAttempt.class))
        .containsExactly(new RoutingCommand.CancelAttempt(d.attempt(), d.upstream()));
    handle(new RoutingEvent.DecodeFinished(next.attempt()));
    assertThat(commandsOfType(RoutingCommand.Complete.class)).hasSize(1);
    assertThat(router.openReservations()).isEqualTo(0);
  }

  @Test
  void goesOnElsewhereWhenItsSilentEngineFailsMeanwhile() {
    applyManifest(2, false);
    RoutingCommand.StartDecode d = startStream(3);
    passSilently(2_500 * MILLI);
    handle(new RoutingEvent.DecodeFailed(d.attempt(), Failure.DISCONNECTED));

    RoutingCommand.StartDecode next =
        finishPrefill(lastCommandOfType(RoutingCommand.StartPrefill.class));

    assertThat(next.upstream()).isNotEqualTo(d.upstream());
    assertThat(next.resumeFrom()).isEqualTo(7);
    assertThat(commandsOfType(RoutingCommand.Refuse.class)).isEmpty();
  }

  @Test
  void staysWhileTheHeadOfItsResponseIsLateAndNoOtherEngineExists() {
    applyManifest(1, false);
    RoutingCommand.StartDecode d = startDecode(3);
    passSilently(1_500 * MILLI);
    handle(new RoutingEvent.DecodeStarted(d.attempt()));

    assertStreamStays(d);
  }

  @Test
  void staysWhenItsKvCacheCanNotBeFetchedByAnotherEngine() {
    applyManifest(2, false);
    RoutingCommand.StartDecode d = startDecode(3);
    passSilently(700 * MILLI);
    RoutingCommand.StartDecode next = lastCommandOfType(RoutingCommand.StartDecode.class);
    assertThat(next.attempt()).isNotEqualTo(d.attempt());

    handle(new RoutingEvent.DecodeFailed(next.attempt(), Failure.REFUSED));

    assertThat(commandsOfType(RoutingCommand.ReleaseKv.class)).isEmpty();
    handle(new RoutingEvent.DecodeStarted(d.attempt()));
    assertStreamStays(d);
  }

  @Test
  void takesItsKvCacheToAnotherEngineWhenTheHeadOfItsResponseIsLate() {
    applyManifest(2, false);
    RoutingCommand.StartDecode d = startDecode(3);
    passSilently(700 * MILLI);

    RoutingCommand.StartDecode next = lastCommandOfType(RoutingCommand.StartDecode.class);
    assertThat(next.upstream()).isNotEqualTo(d.upstream());
    assertThat(next.handle()).isEqualTo(d.handle());
    assertThat(commandsOfType(RoutingCommand.CancelAttempt.class)).isEmpty();
    handle(new RoutingEvent.DecodeStarted(next.attempt()));
    assertThat(commandsOfType(RoutingCommand.CancelAttempt.class))
        .containsExactly(new RoutingCommand.CancelAttempt(d.attempt(), d.upstream()));
    assertThat(commandsOfType(RoutingCommand.ReleaseKv.class)).isEmpty();
    handle(new RoutingEvent.CallerDisconnected(new RequestId("r1")));
    assertThat(router.openReservations()).isEqualTo(0);
    assertThat(List.of(new UpstreamId("d0"), new UpstreamId("d1"))).contains(next.upstream());
  }
}
