package org.mustardlatch.core.ledger;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.truth.StandardSubjectBuilder;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.core.peer.LedgerMessage;
import org.mustardlatch.core.routing.Member;
import org.mustardlatch.core.time.VirtualTimerService;

/**
 * Simulates nodes, object service, application and callers in virtual time under one seeded
 * schedule of calls and faults.
 */
final class LedgerSimulation {
  static final long START_SECONDS = 1_800_000_000L;
  private static final int NODES = 3;
  private static final int KEYS = 5;
  private static final int SHARD = 7;
  private static final int FAULT_PHASE_MILLIS = 120_000;
  private static final Duration SETTLE_TIME = Duration.ofMinutes(8);

  final VirtualTimerService time = new VirtualTimerService();
  final FakeStore store;
  final FakeApplication application = new FakeApplication();
  private final long seed;
  private final RandomGenerator random;
  private final List<FakeNode> nodes = new ArrayList<>();
  private final List<FakeCall> calls = new ArrayList<>();
  private final List<LedgerKey> keys = new ArrayList<>();
  private final Set<Class<?>> responseTypes;
  private final Set<String> lostStartResponses = new HashSet<>();
  private final Set<String> forwardedStarts = new HashSet<>();
  private long lastIncarnation;
  private boolean faulty = true;

  LedgerSimulation(long seed, Set<Class<?>> responseTypes) {
    this.seed = seed;
    this.responseTypes = responseTypes;
    random = new SplittableRandom(seed);
    store = new FakeStore(time, random, this::checkStartRecords);
    for (int i = 0; keys.size() < KEYS; i++) {
      LedgerKey key = LedgerKey.of(new WorkspaceId("w"), "key-" + i);
      if (key.shard() == SHARD) {
        keys.add(key);
      }
    }
    for (int i = 0; i < NODES; i++) {
      nodes.add(newNode(i));
    }
  }

  /** Runs the schedule with faults, stops the faults, repeats every key and checks the outcome. */
  void run() {
    scheduleCalls();
    scheduleFaults();
    time.advance(Duration.ofMillis(FAULT_PHASE_MILLIS));
    stopFaults();
    time.advance(SETTLE_TIME);
    if (seed % 3 == 0) {
      time.advance(LedgerLimits.FULL_RECORD_RETENTION.plus(Duration.ofMinutes(5)));
    }
    repeatEveryKey();
    checkCalls();
  }

  private void scheduleCalls() {
    for (int i = 0; i < 16; i++) {
      LedgerKey key = keys.get(random.nextInt(KEYS));
      int node = random.nextInt(NODES);
      time.schedule(randomDuration(FAULT_PHASE_MILLIS), () -> call(key, node, randomDeadline()));
      if (random.nextInt(3) == 0) { // the caller repeats the call immediately at another node
        time.schedule(
            randomDuration(FAULT_PHASE_MILLIS), () -> callTwoNodes(key, node, (node + 1) % NODES));
      }
    }
  }

  private void callTwoNodes(LedgerKey key, int first, int second) {
    call(key, first, randomDeadline());
    call(key, second, randomDeadline());
  }

  /** Returns a random deadline. Short deadlines often pass while a write has no known result. */
  private Duration randomDeadline() {
    return random.nextBoolean() ? randomDuration(3_000) : randomDuration(40_000);
  }

  private FakeCall call(LedgerKey key, int node, Duration deadline) {
    FakeNode n = nodes.get(node);
    String nonce = n.noncePrefix() + String.format("%016x", calls.size());
    Attempt attempt = new Attempt(key, "digest", nonce, n.host.value(), n.incarnation);
    FakeCall call = new FakeCall(attempt, time.nanos() + deadline.toNanos());
    calls.add(call);
    n.begin(call);
    if (faulty && random.nextInt(3) == 0) {
      time.schedule(randomDuration(4_000), () -> n.disconnectCaller(call));
    }
    return call;
  }

  private void scheduleFaults() {
    for (int i = 0; i < 4; i++) {
      time.schedule(
          randomDuration(FAULT_PHASE_MILLIS), () -> store.startOutage(randomDuration(20_000)));
      time.schedule(
          randomDuration(FAULT_PHASE_MILLIS), () -> store.startSlowdown(randomDuration(20_000)));
    }
    for (int i = 0; i < 30; i++) {
      int node = random.nextInt(NODES);
      time.schedule(randomDuration(FAULT_PHASE_MILLIS), () -> randomizeMembers(nodes.get(node)));
    }
  }

  /**
   * Called after each task of a node: sometimes pauses the node for a random time, sometimes kills
   * and restarts it.
   */
  void maybeInjectFault(FakeNode node) {
    if (!faulty) {
      return;
    }
    int randomValue = random.nextInt(200);
    if (randomValue < 6) {
      node.pause(random.nextBoolean() ? randomDuration(2_000) : randomDuration(200_000));
    } else if (randomValue == 6 && nodes.contains(node)) {
      node.kill();
      int index = nodes.indexOf(node);
      nodes.set(index, newNode(index));
    }
  }

  private FakeNode newNode(int index) {
    FakeNode node = new FakeNode(this, new HostId("n" + index), ++lastIncarnation, random);
    randomizeMembers(node);
    return node;
  }

  /**
   * Gives the node a random view of the live nodes, so that nodes disagree and a shard has several
   * owners at once. A node whose view contains only itself writes all records itself.
   */
  private void randomizeMembers(FakeNode node) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      HostId host = new HostId("n" + i);
      if (host.equals(node.host) || random.nextInt(3) > 0) {
        members.add(new Member(host, new RegionId("r"), new ZoneId("z"), 1));
      }
    }
    node.ledger.setMembers(members, Optional.of(new RegionId("r")));
  }

  /** Delivers a message; with faults it may be lost, duplicated or delayed. */
  void deliver(FakeNode from, HostId to, LedgerMessage message) {
    int copies = !faulty || random.nextInt(8) > 0 ? 1 : random.nextInt(3);
    if (message instanceof LedgerMessage.LedgerStart m) {
      forwardedStarts.add(m.nonce());
    }
    if (copies == 0 && message instanceof LedgerMessage.LedgerStarted m) {
      lostStartResponses.add(m.requestedNonce());
    }
    for (int i = 0; i < copies; i++) {
      Duration delay =
          i == 0 && random.nextInt(10) > 0 ? randomDuration(20) : randomDuration(50_000);
      time.schedule(faulty ? delay : randomDuration(20), () -> receive(from, to, message));
    }
  }

  private void receive(FakeNode from, HostId to, LedgerMessage message) {
    for (FakeNode n : List.copyOf(nodes)) {
      if (n.host.equals(to)) {
        n.run(() -> n.ledger.receive(from.host, from.incarnation, message, n.now()));
      }
    }
  }

  private void stopFaults() {
    faulty = false;
    store.stopFaults();
  }

  /**
   * Repeats every key. A repeat after the finish record was stored must get the recorded response
   * and must not run.
   */
  private void repeatEveryKey() {
    for (LedgerKey key : keys) {
      boolean finished =
          calls.stream()
              .anyMatch(
                  c -> c.attempt.key().equals(key) && c.response instanceof KeyedResponse.Ran);
      FakeCall repeat = call(key, random.nextInt(NODES), Duration.ofSeconds(60));
      time.advance(Duration.ofMinutes(2));
      checkUnusedKeyRuns(key, repeat);
      if (finished) {
        assertForSeed("response to repeat of finished key").that(repeat.response).isNotNull();
        assertForSeed("dispatches of repeat of finished key")
            .that(repeat.dispatchCount)
            .isEqualTo(0);
        if (repeat.response instanceof KeyedResponse.Recorded recorded) {
          String expected = recorded.response() == null ? null : application.response(key);
          assertForSeed("recorded response").that(recorded.response()).isEqualTo(expected);
          assertForSeed("recorded status").that(recorded.status()).isEqualTo(200);
        } else {
          assertForSeed(
                  "response to repeat " + repeat.response + " although finish record was stored")
              .that(nodeDiedAfterRun(key))
              .isTrue();
        }
      }
    }
  }

  /**
   * Checks that the repeat runs if the key is unused: no attempt was dispatched, no node died, and
   * every start response reached its node.
   */
  private void checkUnusedKeyRuns(LedgerKey key, FakeCall repeat) {
    boolean used =
        calls.stream()
            .filter(c -> c.attempt.key().equals(key) && c != repeat)
            .anyMatch(
                c ->
                    c.dispatchCount > 0
                        || c.nodeDied
                        || lostStartResponses.contains(c.attempt.nonce()));
    if (!used) {
      assertForSeed("dispatches of repeat of unused key with response " + repeat.response)
          .that(repeat.dispatchCount)
          .isEqualTo(1);
    }
  }

  /** Returns whether a node died that ran the key, so that the finish record may be missing. */
  private boolean nodeDiedAfterRun(LedgerKey key) {
    return calls.stream()
        .anyMatch(c -> c.attempt.key().equals(key) && application.hasRun(c.attempt) && c.nodeDied);
  }

  private void checkCalls() {
    for (LedgerKey key : keys) {
      assertForSeed("runs of " + key).that(application.runs(key)).isAtMost(1);
    }
    for (FakeCall call : calls) {
      if (call.response != null) {
        responseTypes.add(call.response.getClass());
      }
      String callText = call.attempt.nonce() + " with response " + call.response;
      assertForSeed("dispatches of " + callText).that(call.dispatchCount).isAtMost(1);
      assertForSeed("responses of " + callText).that(call.responseCount).isAtMost(1);
      if (!call.nodeDied) {
        assertForSeed("responses of " + callText).that(call.responseCount).isEqualTo(1);
      }
      if (call.response instanceof KeyedResponse.NotRun) {
        assertForSeed("run of refused " + callText)
            .that(application.hasRun(call.attempt))
            .isFalse();
        assertForSeed("record of refused " + callText).that(leavesStartRecord(call)).isFalse();
      }
      if (call.response instanceof KeyedResponse.Ran) {
        assertForSeed("run of call with response " + callText)
            .that(application.hasRun(call.attempt))
            .isTrue();
      }
    }
    for (FakeNode node : nodes) {
      assertForSeed("node " + node.host + " is idle").that(node.ledger.isIdle()).isTrue();
    }
  }

  /**
   * Checks that no write contains the start record of a call that was refused before, unless the
   * start was forwarded, because a forwarded message can be delayed.
   */
  private void checkStartRecords(JsonNode content) {
    for (JsonNode r : content.path("recent")) {
      String nonce = r.path("nonce").asText();
      if (r.path("state").asText().equals("STARTED") && !forwardedStarts.contains(nonce)) {
        boolean refused =
            calls.stream()
                .anyMatch(
                    c ->
                        c.attempt.nonce().equals(nonce)
                            && c.response instanceof KeyedResponse.NotRun);
        assertForSeed("start record after the refusal of " + nonce).that(refused).isFalse();
      }
    }
  }

  /**
   * Returns whether the store has a start record of the attempt although its node is alive and
   * received the start response, so that it could have cancelled the record.
   */
  private boolean leavesStartRecord(FakeCall call) {
    String started = "\"state\":\"STARTED\",\"nonce\":\"" + call.attempt.nonce() + "\"";
    return !call.nodeDied
        && !lostStartResponses.contains(call.attempt.nonce())
        && store.object(SHARD).toString().contains(started);
  }

  private Duration randomDuration(int boundMillis) {
    return Duration.ofMillis(random.nextInt(boundMillis));
  }

  private StandardSubjectBuilder assertForSeed(String what) {
    return assertWithMessage("seed %s: %s", seed, what);
  }
}
