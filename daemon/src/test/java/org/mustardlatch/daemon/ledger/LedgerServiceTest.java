package org.mustardlatch.daemon.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.ledger.DispatchOutcome;
import org.mustardlatch.core.ledger.KeyedRequestTimeouts;
import org.mustardlatch.core.ledger.KeyedResponse;
import org.mustardlatch.core.ledger.LedgerKey;
import org.mustardlatch.core.ledger.LedgerLimits;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.core.routing.Member;
import org.mustardlatch.daemon.node.EventLoop;
import org.mustardlatch.daemon.node.Membership;
import org.mustardlatch.daemon.store.ObjectStoreClient;
import org.mustardlatch.daemon.store.ObjectStoreTimeouts;
import org.mustardlatch.standin.ObjectServiceFaults;
import org.mustardlatch.standin.ObjectServiceStandin;

/** Guards against second runs and false refusals with a real client and object service stand-in. */
class LedgerServiceTest {
  private static final WorkspaceId WORKSPACE = new WorkspaceId("tinta");
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);
  private static final InstantSource WALL_CLOCK = () -> Instant.ofEpochSecond(1_800_000_000L);
  private static final Membership BOTH_NODES =
      new Membership() {
        @Override
        public List<Member> live() {
          return List.of(member("a"), member("b"));
        }

        @Override
        public long incarnation() {
          return 1;
        }
      };

  private final EventLoop timers = new EventLoop("test");
  private final ObjectServiceStandin standin = new ObjectServiceStandin().start(0);
  private final List<ObjectStoreClient> clients = new ArrayList<>();
  private final List<LedgerService> services = new ArrayList<>();
  private final LedgerService a = node("a");
  private final LedgerService b = node("b");

  @AfterEach
  void stop() {
    services.forEach(LedgerService::stop);
    clients.forEach(ObjectStoreClient::close);
    standin.close();
    timers.stop();
  }

  @Test
  void repeatAtAnotherNodeGetsTheRecordedResponseAndDoesNotRun() throws Exception {
    assertThat(run(a, "k", "d", new DispatchOutcome.Completed(201, "done")))
        .isEqualTo(new KeyedResponse.Ran());
    KeyedRequestHandle repeat = begin(b, "k", "d");
    assertThat(await(repeat.dispatchPermitted())).isFalse();
    assertThat(await(repeat.response())).isEqualTo(new KeyedResponse.Recorded(201, "done"));
  }

  @Test
  void repeatDuringTheFirstRunIsInProgressAndOtherContentIsKeyReuse() throws Exception {
    KeyedRequestHandle first = begin(a, "k", "d");
    assertThat(await(first.dispatchPermitted())).isTrue();
    assertThat(await(begin(b, "k", "d").response())).isInstanceOf(KeyedResponse.InProgress.class);
    assertThat(await(begin(b, "k", "other").response())).isEqualTo(new KeyedResponse.KeyReused());
  }

  @Test
  void lostStoreResponsesOfStartAndFinishStillGiveOneRecordedRun() throws Exception {
    standin.setFaults(ObjectServiceFaults.lostAnswers(1));
    KeyedRequestHandle call = begin(a, "k", "d");
    assertThat(await(call.dispatchPermitted())).isTrue();
    assertThat(call.claimDispatch()).isTrue();
    standin.setFaults(ObjectServiceFaults.lostAnswers(1));
    assertThat(await(call.finish(new DispatchOutcome.Completed(200, "x"))))
        .isEqualTo(new KeyedResponse.Ran());
    assertThat(await(a.drain(LONG_TIMEOUT))).isTrue();
    assertThat(await(begin(b, "k", "d").response())).isEqualTo(new KeyedResponse.Recorded(200, "x"));
  }

  @Test
  void storeOutageIsNotRunAndTheSameKeyRunsAfterwards() throws Exception {
    standin.setFaults(ObjectServiceFaults.DOWN);
    assertThat(await(begin(a, "k", "d").response())).isInstanceOf(KeyedResponse.NotRun.class);
    standin.setFaults(ObjectServiceFaults.NONE);
    assertThat(run(b, "k", "d", new DispatchOutcome.Completed(200, "x")))
        .isEqualTo(new KeyedResponse.Ran());
  }

  @Test
  void callerThatDisconnectsBeforeTheClaimFreesTheKey() throws Exception {
    KeyedRequestHandle first = begin(a, "k", "d");
    assertThat(await(first.dispatchPermitted())).isTrue();
    first.callerDisconnected();
    assertThat(first.claimDispatch()).isFalse();
    assertThat(await(first.response())).isInstanceOf(KeyedResponse.NotRun.class);
    assertThat(run(b, "k", "d", new DispatchOutcome.Completed(200, "x")))
        .isEqualTo(new KeyedResponse.Ran());
  }

  @Test
  void requestThatWasNotSentIsNotRunAndFreesTheKey() throws Exception {
    assertThat(run(a, "k", "d", new DispatchOutcome.NotSent()))
        .isInstanceOf(KeyedResponse.NotRun.class);
    assertThat(run(a, "k", "d", new DispatchOutcome.Completed(200, "x")))
        .isEqualTo(new KeyedResponse.Ran());
  }

  @Test
  void unknownOutcomeStaysUnknownForRepeats() throws Exception {
    assertThat(run(a, "k", "d", new DispatchOutcome.Unknown()))
        .isEqualTo(new KeyedResponse.OutcomeUnknown());
    assertThat(await(a.drain(LONG_TIMEOUT))).isTrue();
    assertThat(await(begin(b, "k", "d").response())).isEqualTo(new KeyedResponse.OutcomeUnknown());
  }

  @Test
  void oldUuidOfVersionSevenIsRefusedAsExpired() throws Exception {
    assertThat(await(begin(a, "01890a5d-ac96-774b-bcce-b302099a8057", "d").response()))
        .isEqualTo(new KeyedResponse.KeyExpired());
  }

  @Test
  void startsThatArriveDuringAStoreCallShareTheNextWrite() throws Exception {
    startFortyOnOneShard(a, a);
    assertThat(standin.calls("put")).isEqualTo(1);
  }

  @Test
  void startsOfTwoNodesShareOneWriteByTheShardOwner() throws Exception {
    KeyedRequestTimeouts patient = new KeyedRequestTimeouts(LONG_TIMEOUT, LONG_TIMEOUT, LONG_TIMEOUT);
    Map<HostId, LedgerService> nodes = new ConcurrentHashMap<>();
    List<LedgerService> both = new ArrayList<>();
    for (String name : List.of("a", "b")) {
      LedgerPeerSender peers =
          (to, message) -> {
            LedgerService target = nodes.get(to);
            if (target != null) {
              target.receive(new HostId(name), 1, message);
            }
          };
      both.add(node(name, Optional.of(peers), patient));
      nodes.put(new HostId(name), both.getLast());
    }
    startFortyOnOneShard(both.get(0), both.get(1));
    assertThat(standin.calls("put")).isEqualTo(1);
  }

  @Test
  void nodeWritesDirectlyWhenTheShardOwnerDoesNotRespond() throws Exception {
    KeyedRequestTimeouts hasty = new KeyedRequestTimeouts(Duration.ofMillis(50), LONG_TIMEOUT, LONG_TIMEOUT);
    LedgerPeerSender silent = (to, message) -> {};
    startFortyOnOneShard(
        node("a", Optional.of(silent), hasty), node("b", Optional.of(silent), hasty));
  }

  /** Holds the object service until both nodes have taken all starts. */
  private void startFortyOnOneShard(LedgerService first, LedgerService second) throws Exception {
    standin.setFaults(ObjectServiceFaults.slow(60_000));
    List<KeyedRequestHandle> calls = new ArrayList<>();
    for (int i = 0; calls.size() < 40; i++) {
      String key = "k" + i;
      if (LedgerKey.of(WORKSPACE, key).shard() == 7) {
        calls.add(begin(calls.size() % 2 == 0 ? first : second, key, "d"));
      }
    }
    for (LedgerService node : List.of(first, second, first, second)) {
      assertThat(await(node.drain(Duration.ZERO))).isFalse(); // runs after what was queued before
    }
    standin.setFaults(ObjectServiceFaults.NONE);
    for (KeyedRequestHandle call : calls) {
      assertThat(await(call.dispatchPermitted())).isTrue();
    }
  }

  private static KeyedResponse run(
      LedgerService node, String key, String digest, DispatchOutcome outcome) throws Exception {
    KeyedRequestHandle call = begin(node, key, digest);
    assertThat(await(call.dispatchPermitted())).isTrue();
    assertThat(call.claimDispatch()).isTrue();
    assertThat(call.claimDispatch()).isFalse();
    return await(call.finish(outcome));
  }

  private static KeyedRequestHandle begin(LedgerService node, String key, String digest) {
    return node.begin(WORKSPACE, key, digest, System.nanoTime() + LONG_TIMEOUT.toNanos());
  }

  private static Member member(String name) {
    return new Member(new HostId(name), new RegionId("r"), new ZoneId("z"), 1);
  }

  private LedgerService node(String name) {
    return node(name, Optional.empty(), KeyedRequestTimeouts.DEFAULT);
  }

  private LedgerService node(
      String name, Optional<LedgerPeerSender> peers, KeyedRequestTimeouts policy) {
    ObjectStoreClient client =
        new ObjectStoreClient(
            URI.create(standin.url()),
            new ObjectStoreTimeouts(
                Duration.ofSeconds(5), Duration.ofSeconds(10), LONG_TIMEOUT, Duration.ofMillis(20)),
            timers);
    clients.add(client);
    LedgerService service =
        new LedgerService(
            new LedgerSettings(
                new HostId(name),
                Optional.of(new RegionId("r")),
                () -> LedgerLimits.of(Duration.ofHours(24), 300),
                policy),
            BOTH_NODES,
            client,
            peers,
            WALL_CLOCK,
            new SecureRandom());
    services.add(service);
    service.start();
    return service;
  }

  private static <T> T await(CompletableFuture<T> future) throws Exception {
    return future.get(40, TimeUnit.SECONDS);
  }
}
