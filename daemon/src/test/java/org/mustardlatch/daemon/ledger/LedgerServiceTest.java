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

/**
 * Guards against a second run of a keyed request, and against refusals of requests that may run.
 * Uses the real store client against a stand-in of the object service.
 */
class LedgerServiceTest {
  private static final WorkspaceId WORKSPACE = new WorkspaceId("tinta");
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);
  private static final InstantSource WALL_CLOCK = () -> Instant.ofEpochSecond(1_800_000_000L);
  private static final Membership BOTH_NODES =
      new Membership() {
        @Override
        public List<Member> liveMembers() {
          return List.of(member("a"), member("b"));
        }

        @Override
        public long incarnation() {
          return 1;
        }
      };

  private final EventLoop timers = new EventLoop("test");
  private final ObjectServiceStandin objectService = new ObjectServiceStandin().start(0);
  private final List<ObjectStoreClient> clients = new ArrayList<>();
  private final List<LedgerService> services = new ArrayList<>();
  private final LedgerService nodeA = startNode("a");
  private final LedgerService nodeB = startNode("b");

  @AfterEach
  void stop() {
    services.forEach(LedgerService::stop);
    clients.forEach(ObjectStoreClient::close);
    objectService.close();
    timers.stop();
  }

  @Test
  void repeatAtAnotherNodeGetsTheRecordedResponseAndDoesNotRun() throws Exception {
    assertThat(run(nodeA, "k", "d", new DispatchOutcome.Completed(201, "done")))
        .isEqualTo(new KeyedResponse.Ran());
    KeyedRequestHandle repeat = begin(nodeB, "k", "d");
    assertThat(await(repeat.dispatchPermitted())).isFalse();
    assertThat(await(repeat.response())).isEqualTo(new KeyedResponse.Recorded(201, "done"));
  }

  @Test
  void repeatDuringTheFirstRunIsInProgressAndOtherContentIsKeyReuse() throws Exception {
    KeyedRequestHandle first = begin(nodeA, "k", "d");
    assertThat(await(first.dispatchPermitted())).isTrue();
    assertThat(await(begin(nodeB, "k", "d").response()))
        .isInstanceOf(KeyedResponse.InProgress.class);
    assertThat(await(begin(nodeB, "k", "other").response()))
        .isEqualTo(new KeyedResponse.KeyReused());
  }

  @Test
  void lostStoreResponsesOfStartAndFinishStillGiveOneRecordedRun() throws Exception {
    objectService.setFaults(ObjectServiceFaults.lostAnswers(1));
    KeyedRequestHandle request = begin(nodeA, "k", "d");
    assertThat(await(request.dispatchPermitted())).isTrue();
    assertThat(request.claimDispatch()).isTrue();
    objectService.setFaults(ObjectServiceFaults.lostAnswers(1));
    assertThat(await(request.finish(new DispatchOutcome.Completed(200, "x"))))
        .isEqualTo(new KeyedResponse.Ran());
    assertThat(await(nodeA.drain(LONG_TIMEOUT))).isTrue();
    assertThat(await(begin(nodeB, "k", "d").response()))
        .isEqualTo(new KeyedResponse.Recorded(200, "x"));
  }

  @Test
  void storeOutageIsNotRunAndTheSameKeyRunsAfterwards() throws Exception {
    objectService.setFaults(ObjectServiceFaults.DOWN);
    assertThat(await(begin(nodeA, "k", "d").response())).isInstanceOf(KeyedResponse.NotRun.class);
    objectService.setFaults(ObjectServiceFaults.NONE);
    assertThat(run(nodeB, "k", "d", new DispatchOutcome.Completed(200, "x")))
        .isEqualTo(new KeyedResponse.Ran());
  }

  @Test
  void callerThatDisconnectsBeforeTheClaimFreesTheKey() throws Exception {
    KeyedRequestHandle first = begin(nodeA, "k", "d");
    assertThat(await(first.dispatchPermitted())).isTrue();
    first.callerDisconnected();
    assertThat(first.claimDispatch()).isFalse();
    assertThat(await(first.response())).isInstanceOf(KeyedResponse.NotRun.class);
    assertThat(run(nodeB, "k", "d", new DispatchOutcome.Completed(200, "x")))
        .isEqualTo(new KeyedResponse.Ran());
  }

  @Test
  void requestThatWasNotSentIsNotRunAndFreesTheKey() throws Exception {
    assertThat(run(nodeA, "k", "d", new DispatchOutcome.NotSent()))
        .isInstanceOf(KeyedResponse.NotRun.class);
    assertThat(run(nodeA, "k", "d", new DispatchOutcome.Completed(200, "x")))
        .isEqualTo(new KeyedResponse.Ran());
  }

  @Test
  void unknownOutcomeStaysUnknownForRepeats() throws Exception {
    assertThat(run(nodeA, "k", "d", new DispatchOutcome.Unknown()))
        .isEqualTo(new KeyedResponse.OutcomeUnknown());
    assertThat(await(nodeA.drain(LONG_TIMEOUT))).isTrue();
    assertThat(await(begin(nodeB, "k", "d").response()))
        .isEqualTo(new KeyedResponse.OutcomeUnknown());
  }

  @Test
  void oldUuidOfVersionSevenIsRefusedAsExpired() throws Exception {
    assertThat(await(begin(nodeA, "01890a5d-ac96-774b-bcce-b302099a8057", "d").response()))
        .isEqualTo(new KeyedResponse.KeyExpired());
  }

  @Test
  void startsThatArriveDuringAStoreCallShareTheNextWrite() throws Exception {
    startFortyRequestsOnOneShard(nodeA, nodeA);
    assertThat(objectService.calls("put")).isEqualTo(1);
  }

  @Test
  void startsOfTwoNodesShareOneWriteByTheShardOwner() throws Exception {
    KeyedRequestTimeouts longTimeouts =
        new KeyedRequestTimeouts(LONG_TIMEOUT, LONG_TIMEOUT, LONG_TIMEOUT);
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
      both.add(startNode(name, Optional.of(peers), longTimeouts));
      nodes.put(new HostId(name), both.getLast());
    }
    startFortyRequestsOnOneShard(both.get(0), both.get(1));
    assertThat(objectService.calls("put")).isEqualTo(1);
  }

  @Test
  void nodeWritesDirectlyWhenTheShardOwnerDoesNotRespond() throws Exception {
    KeyedRequestTimeouts shortOwnerTimeout =
        new KeyedRequestTimeouts(Duration.ofMillis(50), LONG_TIMEOUT, LONG_TIMEOUT);
    LedgerPeerSender droppingPeers = (to, message) -> {};
    startFortyRequestsOnOneShard(
        startNode("a", Optional.of(droppingPeers), shortOwnerTimeout),
        startNode("b", Optional.of(droppingPeers), shortOwnerTimeout));
  }

  /**
   * Begins 40 requests on shard 7, in turn at both nodes, and expects that all may be dispatched.
   * The object service delays its responses until both nodes have queued all starts.
   */
  private void startFortyRequestsOnOneShard(LedgerService first, LedgerService second)
      throws Exception {
    objectService.setFaults(ObjectServiceFaults.slow(60_000));
    List<KeyedRequestHandle> requests = new ArrayList<>();
    for (int i = 0; requests.size() < 40; i++) {
      String key = "k" + i;
      if (LedgerKey.of(WORKSPACE, key).shard() == 7) {
        requests.add(begin(requests.size() % 2 == 0 ? first : second, key, "d"));
      }
    }
    for (LedgerService node : List.of(first, second, first, second)) {
      assertThat(await(node.drain(Duration.ZERO))).isFalse(); // runs after all tasks queued before
    }
    objectService.setFaults(ObjectServiceFaults.NONE);
    for (KeyedRequestHandle request : requests) {
      assertThat(await(request.dispatchPermitted())).isTrue();
    }
  }

  private static KeyedResponse run(
      LedgerService node, String key, String digest, DispatchOutcome outcome) throws Exception {
    KeyedRequestHandle request = begin(node, key, digest);
    assertThat(await(request.dispatchPermitted())).isTrue();
    assertThat(request.claimDispatch()).isTrue();
    assertThat(request.claimDispatch()).isFalse();
    return await(request.finish(outcome));
  }

  private static KeyedRequestHandle begin(LedgerService node, String key, String digest) {
    return node.begin(WORKSPACE, key, digest, System.nanoTime() + LONG_TIMEOUT.toNanos());
  }

  private static Member member(String name) {
    return new Member(new HostId(name), new RegionId("r"), new ZoneId("z"), 1);
  }

  private LedgerService startNode(String name) {
    return startNode(name, Optional.empty(), KeyedRequestTimeouts.DEFAULT);
  }

  private LedgerService startNode(
      String name, Optional<LedgerPeerSender> peers, KeyedRequestTimeouts timeouts) {
    ObjectStoreClient client =
        new ObjectStoreClient(
            URI.create(objectService.url()),
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
                timeouts),
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
