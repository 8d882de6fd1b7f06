package org.mustardlatch.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.mustardlatch.core.routing.Fixtures.OSLO;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.BudgetMessage.BudgetLeaseRequest;
import org.mustardlatch.core.time.VirtualTimerService;

/**
 * Guards against nodes that together send an application upstream more than the limit that it
 * states, or much less. Several routers in virtual time.
 */
class UpstreamLimitFleetTest {
  private static final UpstreamId LIMITED = new UpstreamId("app-1");
  private static final UpstreamId OTHER = new UpstreamId("app-2");
  private static final Duration MESSAGE_DELAY = Duration.ofMillis(2);
  private static final Duration RESPONSE_TIME = Duration.ofMillis(50);
  private static final Duration MEMBERSHIP_DELAY = Duration.ofSeconds(8);

  /** The platform's bound: any window, from some time after the limit was stated. */
  private static final Duration WINDOW = Duration.ofSeconds(4);

  private static final double WINDOW_FACTOR = 1.5;
  private static final int WINDOW_EXTRA = 5;

  private static final double MIN_USED_SHARE = 0.5;
  private static final Duration SCENARIO_TIME = Duration.ofSeconds(20);
  private static final long SEED = 1;

  /** Nodes of the target, and lease requests that fit with their responses into 9 KB/s. */
  private static final int LARGE_FLEET = 390;

  private static final int MAX_REQUESTS_PER_SECOND = 60;

  private final VirtualTimerService timers = new VirtualTimerService();
  private final SplittableRandom random = new SplittableRandom(SEED);
  private final Map<HostId, Node> nodes = new HashMap<>();
  private final Set<HostId> cut = new HashSet<>();
  private final List<Long> arrivals = new ArrayList<>();
  private final Map<HostId, Integer> leaseRequests = new HashMap<>();
  private OptionalDouble limit = OptionalDouble.empty();
  private int requestCount;
  private int refusedCount;
  private int otherCount;

  /** A router, its timers and its requests. */
  private final class Node {
    final HostId host;
    final PolicyRunner runner;
    boolean stopped;

    Node(int number, int fleetSize, long incarnation) {
      host = Fixtures.host(number);
      NodeRouter router = new NodeRouter(host, OSLO, incarnation, random.split());
      router.expectNodes(Math.min(3, fleetSize));
      runner = new PolicyRunner(timers, router, this::execute);
    }

    void handle(RoutingEvent event) {
      if (!stopped) {
        runner.handle(event);
      }
    }

    void execute(RoutingCommand command) {
      switch (command) {
        case RoutingCommand.SendPeerMessage c -> {
          if (c.message() instanceof BudgetLeaseRequest) {
            leaseRequests.merge(c.to(), 1, Integer::sum);
          }
          if (!cut.contains(host) && !cut.contains(c.to())) {
            timers.schedule(
                MESSAGE_DELAY,
                () -> {
                  Node to = nodes.get(c.to());
                  if (to != null) {
                    to.handle(new RoutingEvent.PeerMessageReceived(host, c.message()));
                  }
                });
          }
        }
        case RoutingCommand.DecideApplicationStart c -> started(c.upstream());
        default -> {
          // Of no interest here.
        }
      }
    }

    void started(@Nullable UpstreamId upstream) {
      if (upstream == null) {
        refusedCount++;
      } else if (upstream.equals(LIMITED)) {
        arrivals.add(timers.nanos());
        timers.schedule(
            RESPONSE_TIME, () -> handle(new RoutingEvent.UpstreamLimitStated(LIMITED, limit)));
      } else {
        otherCount++;
      }
    }

    void send(List<UpstreamId> candidates) {
      requestCount++;
      handle(
          new RoutingEvent.ApplicationStartRequested(
              new RequestId("r" + requestCount), candidates));
    }
  }

  private void startFleet(int size) {
    for (int i = 0; i < size; i++) {
      nodes.put(Fixtures.host(i), new Node(i, size, 1));
    }
    reportMembers();
  }

  private Node node(int number) {
    return Objects.requireNonNull(nodes.get(Fixtures.host(number)));
  }

  private void reportMembers() {
    for (Node n : nodes.values()) {
      n.handle(
          new RoutingEvent.MembersChanged(
              nodes.keySet().stream()
                  .filter(h -> h.equals(n.host) || (!cut.contains(h) && !cut.contains(n.host)))
                  .map(h -> new Member(h, OSLO, Fixtures.member(0, OSLO).zone(), 1))
                  .toList()));
    }
  }

  /** Sends requests at random times. */
  private void sendFor(Duration time, Node node, double perSecond, List<UpstreamId> candidates) {
    long end = timers.nanos() + time.toNanos();
    scheduleNext(end, node, perSecond, candidates);
  }

  private void scheduleNext(long end, Node node, double perSecond, List<UpstreamId> candidates) {
    Duration wait = Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9));
    if (timers.nanos() + wait.toNanos() < end) {
      timers.schedule(
          wait,
          () -> {
            node.send(candidates);
            scheduleNext(end, node, perSecond, candidates);
          });
    }
  }

  private void assertWithinLimit(double perSecond) {
    long start = arrivals.getFirst() + WINDOW.toNanos();
    double allowed = WINDOW_FACTOR * perSecond * WINDOW.toSeconds() + WINDOW_EXTRA;
    List<Long> times = arrivals.stream().filter(t -> t >= start).toList();
    for (int first = 0; first < times.size(); first++) {
      long end = times.get(first) + WINDOW.toNanos();
      long count = times.stream().skip(first).takeWhile(t -> t < end).count();
      assertWithMessage("seed %s, arrivals in a window", SEED)
          .that((double) count)
          .isAtMost(allowed);
    }
  }

  private void assertUsed(double perSecond) {
    assertThat((double) arrivals.size())
        .isAtLeast(MIN_USED_SHARE * perSecond * SCENARIO_TIME.toSeconds());
  }

  @ParameterizedTest
  @CsvSource({"3, 3.6, 20", "8, 2.3, 6", "8, 0.5, 6", "8, 40, 20", "40, 100, 10", "100, 5, 5"})
  void fleetSendsWhatALimitedUpstreamTakesAndTheRestElsewhere(
      int size, double perSecond, double requestsPerNode) {
    startFleet(size);
    limit = OptionalDouble.of(perSecond);
    for (Node n : nodes.values()) {
      sendFor(SCENARIO_TIME, n, requestsPerNode, List.of(LIMITED, OTHER));
    }
    timers.advance(SCENARIO_TIME);

    assertWithinLimit(perSecond);
    assertUsed(perSecond);
    assertThat(refusedCount).isEqualTo(0);
    assertThat(otherCount).isGreaterThan(0);
  }

  @Test
  void lowLimitCostsItsOwnerFewMessagesInALargeFleet() {
    startFleet(LARGE_FLEET);
    limit = OptionalDouble.of(3.6);
    nodes.values().forEach(n -> sendFor(SCENARIO_TIME, n, 15, List.of(LIMITED, OTHER)));
    timers.advance(WINDOW);
    leaseRequests.clear();
    timers.advance(SCENARIO_TIME.minus(WINDOW));

    int most = leaseRequests.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    assertThat(most)
        .isAtMost((int) (MAX_REQUESTS_PER_SECOND * SCENARIO_TIME.minus(WINDOW).toSeconds()));
    assertWithinLimit(3.6);
    assertUsed(3.6);
  }

  @ParameterizedTest
  @ValueSource(doubles = {3.6, 40})
  void requestsBeyondTheLimitOfTheOnlyUpstreamAreRefused(double perSecond) {
    startFleet(8);
    limit = OptionalDouble.of(perSecond);
    for (Node n : nodes.values()) {
      sendFor(SCENARIO_TIME, n, 20, List.of(LIMITED));
    }
    timers.advance(SCENARIO_TIME);
    timers.advance(Duration.ofSeconds(1));

    assertWithinLimit(perSecond);
    assertUsed(perSecond);
    assertThat(refusedCount + arrivals.size()).isEqualTo(requestCount);
  }

  @Test
  void fewRequestsAreServedByALimitedUpstreamWithoutARefusal() {
    startFleet(8);
    limit = OptionalDouble.of(10);
    for (Node n : nodes.values()) {
      sendFor(SCENARIO_TIME, n, 0.5, List.of(LIMITED));
    }
    timers.advance(SCENARIO_TIME);
    timers.advance(Duration.ofSeconds(1));

    assertThat((double) refusedCount).isAtMost(0.1 * requestCount);
  }

  @ParameterizedTest
  @ValueSource(doubles = {3.6, 40})
  void limitHoldsIfOneNodeTakesMostRequests(double perSecond) {
    startFleet(8);
    limit = OptionalDouble.of(perSecond);
    nodes.values().forEach(n -> sendFor(SCENARIO_TIME, n, 1, List.of(LIMITED, OTHER)));
    sendFor(SCENARIO_TIME, node(3), 100, List.of(LIMITED, OTHER));
    timers.advance(SCENARIO_TIME);

    assertWithinLimit(perSecond);
    assertUsed(perSecond);
  }

  @ParameterizedTest
  @CsvSource({"0, 3.6", "1, 3.6", "2, 3.6", "3, 3.6", "0, 40", "1, 40", "2, 40", "3, 40"})
  void limitHoldsIfANodeCannotReachTheOthers(int number, double perSecond) {
    startFleet(4);
    limit = OptionalDouble.of(perSecond);
    Duration time = Duration.ofSeconds(30);
    nodes.values().forEach(n -> sendFor(time, n, 50, List.of(LIMITED, OTHER)));
    timers.advance(WINDOW);
    cut.add(Fixtures.host(number));
    timers.advance(MEMBERSHIP_DELAY);
    reportMembers();
    timers.advance(time.minus(WINDOW).minus(MEMBERSHIP_DELAY));

    assertWithinLimit(perSecond);
    assertUsed(perSecond);
  }

  @ParameterizedTest
  @CsvSource({"0, 3.6", "1, 3.6", "2, 3.6", "3, 3.6", "0, 40", "1, 40", "2, 40", "3, 40"})
  void limitHoldsWhileANodeRestarts(int number, double perSecond) {
    startFleet(4);
    limit = OptionalDouble.of(perSecond);
    HostId host = Fixtures.host(number);
    nodes.values().forEach(n -> sendFor(SCENARIO_TIME, n, 50, List.of(LIMITED, OTHER)));
    timers.advance(Duration.ofSeconds(6));
    node(number).stopped = true;
    timers.advance(Duration.ofSeconds(2));
    nodes.put(host, new Node(number, 4, 2));
    reportMembers();
    sendFor(Duration.ofSeconds(12), node(number), 50, List.of(LIMITED, OTHER));
    timers.advance(Duration.ofSeconds(12));

    assertWithinLimit(perSecond);
    assertUsed(perSecond);
  }

  @Test
  void limitThatFallsHoldsSoon() {
    startFleet(8);
    limit = OptionalDouble.of(40);
    nodes.values().forEach(n -> sendFor(SCENARIO_TIME, n, 20, List.of(LIMITED, OTHER)));
    timers.advance(Duration.ofSeconds(6));
    limit = OptionalDouble.of(3.6);
    timers.advance(Duration.ofSeconds(1));
    arrivals.clear();
    timers.advance(Duration.ofSeconds(13));

    assertWithinLimit(3.6);
  }

  @Test
  void limitThatRisesOrEndsIsUsedWithinSeconds() {
    startFleet(8);
    limit = OptionalDouble.of(2);
    nodes.values().forEach(n -> sendFor(SCENARIO_TIME, n, 10, List.of(LIMITED, OTHER)));
    timers.advance(Duration.ofSeconds(6));
    limit = OptionalDouble.of(40);
    timers.advance(Duration.ofSeconds(3));
    int before = arrivals.size();
    timers.advance(Duration.ofSeconds(3));
    assertThat(arrivals.size() - before).isAtLeast((int) (MIN_USED_SHARE * 40 * 3));

    limit = OptionalDouble.empty();
    timers.advance(Duration.ofSeconds(3));
    int ended = otherCount;
    timers.advance(Duration.ofSeconds(3));
    assertThat(otherCount).isEqualTo(ended);
  }
}
