package org.mustardlatch.replay;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.GenerationRequest;
import org.mustardlatch.core.routing.KvHandle;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.VirtualTimerService;

class FakeEngineTest {
  private static final int KV_BYTES = 1000;

  private final VirtualTimerService timers = new VirtualTimerService();
  private final PrefillAccount account = new PrefillAccount();
  private final FakeEngine prefill = engine("p", UpstreamRole.PREFILL, 10);
  private final FakeEngine decode = engine("d", UpstreamRole.DECODE, 10);
  private final FakeLink link = new FakeLink(timers, 10_000_000);
  private final List<RoutingEvent> events = new ArrayList<>();

  private FakeEngine engine(String name, UpstreamRole role, int pieces) {
    Upstream u =
        new Upstream(
            new UpstreamId(name),
            role,
            new ModelId("m"),
            new ZoneId("z"),
            URI.create("http://" + name),
            20,
            10_000,
            pieces,
            true,
            false);
    return new FakeEngine(u, KV_BYTES, timers, Randoms.seeded(1), account);
  }

  private EngineWork work(int number, int promptTokens, int outputTokens) {
    GenerationRequest request =
        new GenerationRequest(
            new RequestId("r" + number),
            new WorkspaceId("w"),
            new ModelId("m"),
            promptTokens,
            outputTokens,
            promptTokens * 4,
            LongStream.range(0, promptTokens / 256).boxed().toList(),
            new Fingerprint("0".repeat(64)),
            1,
            1);
    AttemptId attempt = new AttemptId(request.id(), 1);
    return new EngineWork(
        attempt, new HostId("n"), 1, request, promptTokens, outputTokens, events::add);
  }

  private KvHandle prefilled(EngineWork work) {
    prefill.startPrefill(work);
    timers.advance(Duration.ofMillis(205));
    KvHandle handle = ((RoutingEvent.PrefillFinished) events.getLast()).handle();
    events.clear();
    return handle;
  }

  @Test
  void promptsArePrefilledOneAtATimeInOrder() {
    prefill.startPrefill(work(1, 1000, 1));
    prefill.startPrefill(work(2, 255, 1));
    timers.advance(Duration.ofMillis(104));
    assertThat(events).isEmpty();
    timers.advance(Duration.ofMillis(1));
    assertThat(events).hasSize(1);
    timers.advance(Duration.ofMillis(31));
    assertThat(events).hasSize(2);
  }

  @Test
  void cachedPrefixesAreNotComputedAgain() {
    prefilled(work(1, 2000, 1));
    long before = account.computedTokens();
    prefilled(work(2, 2000, 1));
    assertThat(account.computedTokens() - before).isEqualTo(2000 - 7 * 256);
  }

  @Test
  void workIsRefusedWhenMemoryIsShort() {
    prefill.startPrefill(work(1, 9001, 1));
    prefill.startPrefill(work(2, 1, 1));
    EngineWork refused = work(2, 1, 1);
    assertThat(events)
        .containsExactly(new RoutingEvent.PrefillFailed(refused.attempt(), Failure.REFUSED));
  }

  @Test
  void decodeIsRefusedWhenAllSlotsAreTaken() {
    FakeEngine many = engine("m", UpstreamRole.PREFILL, 100);
    FakeEngine wide = engine("w", UpstreamRole.DECODE, 100);
    link.setCut(true);
    for (int i = 0; i <= 20; i++) {
      EngineWork w = work(i, 100, 100);
      many.startPrefill(w);
      timers.advance(Duration.ofMillis(20));
      RoutingEvent.PrefillFinished done = (RoutingEvent.PrefillFinished) events.getLast();
      wide.startDecode(w, done.handle(), 0, many, link);
    }
    assertThat(wide.load().runningRequests()).isEqualTo(20);
    AttemptId last = work(20, 1, 1).attempt();
    assertThat(events.getLast()).isEqualTo(new RoutingEvent.DecodeFailed(last, Failure.REFUSED));
  }

  @Test
  void resultsExpireAndAreCountedAsWaste() {
    EngineWork w = work(1, 2000, 1);
    KvHandle handle = prefilled(w);
    timers.advance(PrefillSide.KV_LIFE);
    decode.startDecode(w, handle, 0, prefill, link);
    assertThat(events)
        .containsExactly(new RoutingEvent.DecodeFailed(w.attempt(), Failure.KV_EXPIRED));
    assertThat(account.wasted(r -> WasteCause.GIVEN_UP))
        .containsExactly(WasteCause.KV_EXPIRED, 2000L);
    assertThat(prefill.load().freeMemoryPieces()).isEqualTo(10);
  }

  @Test
  void transfersThatOutliveTheResultFail() {
    EngineWork w = work(1, 2000, 1);
    KvHandle handle = prefilled(w);
    link.setCut(true);
    decode.startDecode(w, handle, 0, prefill, link);
    timers.advance(PrefillSide.KV_LIFE);
    assertThat(events)
        .containsExactly(new RoutingEvent.DecodeFailed(w.attempt(), Failure.KV_EXPIRED));
    assertThat(account.wasted(r -> WasteCause.GIVEN_UP).keySet())
        .containsExactly(WasteCause.TRANSFER_STALLED);
    assertThat(decode.load().runningRequests()).isEqualTo(0);
  }

  @Test
  void resumedAnswersContinueAfterTheTokensSent() {
    EngineWork w = work(1, 2000, 10);
    decode.startDecode(w, prefilled(w), 7, prefill, link);
    timers.advance(Duration.ofSeconds(1));
    assertThat(events)
        .containsExactly(
            new RoutingEvent.DecodeStarted(w.attempt()),
            new RoutingEvent.TokensArrived(w.attempt(), 1),
            new RoutingEvent.TokensArrived(w.attempt(), 1),
            new RoutingEvent.TokensArrived(w.attempt(), 1),
            new RoutingEvent.DecodeFinished(w.attempt()))
        .inOrder();
  }

  @Test
  void stragglersAreSlowerInBothHalves() {
    prefill.slowDown(3);
    prefill.startPrefill(work(1, 2000, 1));
    timers.advance(Duration.ofMillis(614));
    assertThat(events).isEmpty();
    timers.advance(Duration.ofMillis(1));
    assertThat(events).hasSize(1);
  }

  @Test
  void deathBreaksWorkAndFreesMemory() {
    EngineWork w = work(1, 2000, 100);
    decode.startDecode(w, prefilled(w), 0, prefill, link);
    timers.advance(Duration.ofMillis(500));
    events.clear();
    decode.die(false);
    timers.advance(Duration.ofSeconds(1));
    assertThat(events).containsExactly(new RoutingEvent.DecodeFailed(w.attempt(), Failure.CRASHED));
    decode.revive();
    assertThat(decode.load().freeMemoryPieces()).isEqualTo(10);
  }

  @Test
  void transfersShareTheLinkEqually() {
    List<Long> done = new ArrayList<>();
    link.transfer(10_000_000, () -> done.add(timers.nanos() / 1_000_000));
    link.transfer(5_000_000, () -> done.add(timers.nanos() / 1_000_000));
    timers.advance(Duration.ofSeconds(2));
    assertThat(done).containsExactly(1000L, 1500L).inOrder();
  }
}
