package org.mustardlatch.core.routing;

import static org.mustardlatch.core.routing.Fixtures.MILLI;
import static org.mustardlatch.core.routing.Fixtures.SECOND;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;

/** Nodes, engines and callers in virtual time, with faults. */
final class FakeFleet {
  private record Task(long at, long order, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
    }
  }

  /** A node process. */
  final class Node {
    final int number;
    final HostId host;
    final NodeRouter router;
    boolean dead;
    boolean member = true;
    long pausedUntil;
    private final ArrayDeque<RoutingEvent> backlog = new ArrayDeque<>();
    private final Map<Node, Long> lastTo = new HashMap<>();
    private final Map<TimerKey, Long> timers = new HashMap<>();
    private long timerVersion;

    Node(int number) {
      this.number = number;
      this.host = Fixtures.host(number);
      this.router = new NodeRouter(host, Fixtures.OSLO, 1, new SplittableRandom(random.nextLong()));
    }

    void event(RoutingEvent event) {
      backlog.add(event);
      work();
    }

    /** Handles what has arrived, in order, unless the node is paused. */
    private void work() {
      if (now < pausedUntil) {
        at(pausedUntil, this::work);
        return;
      }
      for (RoutingEvent e = backlog.poll(); e != null; e = backlog.poll()) {
        if (!dead) {
          router.handle(e, now, c -> command(this, c));
          if (e instanceof RoutingEvent.CallerGone g) {
            told.add(g.request());
          }
        }
      }
    }
  }

  /** What an engine holds for an attempt. */
  private static final class Work {
    final Node owner;
    final long incarnation;
    final GenerationRequest request;

    Work(Node owner, GenerationRequest request) {
      this.owner = owner;
      this.incarnation = owner.router.incarnation();
      this.request = request;
    }
  }

  /** A model engine. */
  static final class Engine {
    final Upstream upstream;
    final Map<AttemptId, Work> held = new LinkedHashMap<>();
    long busyUntil;
    long downUntil;
    long stalledUntil;
    long leavingSince = Long.MAX_VALUE / 2;
    double slowness = 1;

    Engine(Upstream upstream) {
      this.upstream = upstream;
    }
  }

  final List<Node> nodes = new ArrayList<>();
  final Map<UpstreamId, Engine> engines = new LinkedHashMap<>();
  final Map<RequestId, Integer> answers = new HashMap<>();
  final Map<RequestId, RoutingCommand> finals = new HashMap<>();
  final Map<RequestId, GenerationRequest> requests = new LinkedHashMap<>();
  final Map<RequestId, Long> firstTokens = new HashMap<>();
  final Set<RequestId> gone = new HashSet<>();
  private final Set<RequestId> told = new HashSet<>();
  final Set<Fingerprint> poison = new HashSet<>();
  final Map<Fingerprint, Integer> crashes = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  final SplittableRandom random;
  double loss;
  double refusals;
  long now = 1000 * SECOND;
  int outputTokens = 30;
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long order;

  FakeFleet(long seed, int nodeCount, Manifest manifest) {
    this.random = new SplittableRandom(seed);
    manifest.upstreams().forEach(u -> engines.put(u.id(), new Engine(u)));
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Node(i));
    }
    nodes.forEach(n -> n.event(new RoutingEvent.ManifestApplied(1, manifest)));
    announceMembers();
    after(2 * SECOND, this::listHeld);
  }

  void after(long delay, Runnable action) {
    at(now + delay, action);
  }

  void at(long time, Runnable action) {
    tasks.add(new Task(Math.max(time, now), order++, action));
  }

  void runUntil(long end) {
    while (!tasks.isEmpty() && tasks.peek().at() <= end) {
      Task t = tasks.remove();
      now = t.at();
      t.action().run();
    }
    now = end;
  }

  void arrive(Node node, GenerationRequest request) {
    requests.put(request.id(), request);
    if (node.dead) {
      gone.add(request.id());
      return;
    }
    at(now, () -> node.event(new RoutingEvent.RequestArrived(request)));
  }

  void leave(Node node, RequestId id) {
    if (!finals.containsKey(id) && gone.add(id)) {
      node.event(new RoutingEvent.CallerGone(id));
    }
  }

  void kill(Node node) {
    node.dead = true;
    after(
        8 * SECOND,
        () -> {
          node.member = false;
          announceMembers();
        });
  }

  void pause(Node node, long duration) {
    node.pausedUntil = Math.max(node.pausedUntil, now + duration);
    if (duration > 8 * SECOND) {
      at(now + 8 * SECOND, () -> member(node, false));
      at(node.pausedUntil + SECOND, () -> member(node, true));
    }
  }

  private void member(Node node, boolean member) {
    node.member = member;
    announceMembers();
  }

  private void announceMembers() {
    List<Member> live = new ArrayList<>();
    for (Node n : nodes) {
      if (n.member) {
        Member m = Fixtures.member(n.number, Fixtures.OSLO);
        live.add(new Member(m.host(), m.region(), m.zone(), n.router.incarnation()));
      }
    }
    nodes.forEach(
        n ->
            after(
                random.nextLong(500 * MILLI),
                () -> n.event(new RoutingEvent.MembersChanged(live))));
  }

  void crash(Engine e, long downTime) {
    e.downUntil = now + downTime;
    e.busyUntil = now;
    Map<AttemptId, Work> lost = new LinkedHashMap<>(e.held);
    e.held.clear();
    lost.values().stream()
        .map(w -> w.request.fingerprint())
        .distinct()
        .filter(poison::contains)
        .forEach(f -> crashes.merge(f, 1, Integer::sum));
    lost.forEach((a, w) -> failed(w.owner, a, Failure.CRASHED));
  }

  private void failed(Node owner, AttemptId attempt, Failure failure) {
    owner.event(new RoutingEvent.PrefillFailed(attempt, failure));
    owner.event(new RoutingEvent.DecodeFailed(attempt, failure));
  }

  private Engine engine(UpstreamId id) {
    return Objects.requireNonNull(engines.get(id));
  }

  private GenerationRequest request(AttemptId attempt) {
    return Objects.requireNonNull(requests.get(attempt.request()));
  }

  private void listHeld() {
    for (Node n : nodes) {
      for (UpstreamId u : n.dead ? List.<UpstreamId>of() : n.router.admittedEngines()) {
        Engine e = engine(u);
        List<ReportedAttempt> held = new ArrayList<>();
        e.held.forEach(
            (a, w) -> held.add(new ReportedAttempt(a.toString(), w.owner.host, w.incarnation)));
        n.event(new RoutingEvent.HeldAttemptsListed(u, held));
        n.event(new RoutingEvent.LoadReported(u, new LoadReport(held.size(), 0, 100, false)));
      }
    }
    after(2 * SECOND, this::listHeld);
  }

  private void command(Node node, RoutingCommand command) {
    switch (command) {
      case RoutingCommand.ReserveEngine c ->
          after(MILLI, () -> node.event(new RoutingEvent.EngineReserved(c.attempt())));
      case RoutingCommand.StartPrefill c -> prefill(node, c);
      case RoutingCommand.StartDecode c -> decode(node, c);
      case RoutingCommand.CancelAttempt c -> engine(c.upstream()).held.remove(c.attempt());
      case RoutingCommand.CancelHeld c -> cancelHeld(c);
      case RoutingCommand.ReleaseKv c -> {}
      case RoutingCommand.SendPeer c -> {
        if (random.nextDouble() >= loss) {
          Node to = nodes.stream().filter(n -> n.host.equals(c.to())).findFirst().orElseThrow();
          // Peer connections keep the order of messages.
          long at =
              Math.max(now + MILLI + random.nextLong(MILLI), node.lastTo.getOrDefault(to, 0L));
          node.lastTo.put(to, at);
          at(at, () -> to.event(new RoutingEvent.PeerReceived(node.host, c.message())));
        }
      }
      case RoutingCommand.Refuse c -> answered(c.request(), c);
      case RoutingCommand.Complete c -> answered(c.request(), c);
      case RoutingCommand.SetTimer c -> {
        long version = ++node.timerVersion;
        node.timers.put(c.key(), version);
        at(
            c.atNanos(),
            () -> {
              if (node.timers.remove(c.key(), version)) {
                node.event(new RoutingEvent.TimerFired(c.key()));
              }
            });
      }
      case RoutingCommand.CancelTimer c -> node.timers.remove(c.key());
      case RoutingCommand.Explain c -> {}
    }
  }

  private void cancelHeld(RoutingCommand.CancelHeld c) {
    Map<AttemptId, Work> held = engine(c.upstream()).held;
    for (Map.Entry<AttemptId, Work> e : List.copyOf(held.entrySet())) {
      Work w = e.getValue();
      if (e.getKey().toString().equals(c.held().attempt())
          && w.incarnation == c.held().incarnation()) {
        held.remove(e.getKey());
        if (!w.owner.dead && w.owner.member && w.owner.router.incarnation() == w.incarnation) {
          violations.add("not cancelled by its live owner: " + e.getKey());
        }
      }
    }
  }

  private void answered(RequestId id, RoutingCommand answer) {
    answers.merge(id, 1, Integer::sum);
    finals.put(id, answer);
    if (told.contains(id)) {
      violations.add("answer after the caller left: " + answer);
    }
  }

  private @Nullable Engine accept(Node node, AttemptId attempt, UpstreamId upstream) {
    Engine e = engine(upstream);
    if (now > e.leavingSince + 5 * SECOND) {
      violations.add("new work " + attempt + " for leaving upstream " + upstream);
    }
    if (now < e.downUntil || random.nextDouble() < refusals) {
      after(MILLI, () -> failed(node, attempt, Failure.REFUSED));
      return null;
    }
    e.held.put(attempt, new Work(node, request(attempt)));
    return e;
  }

  private void prefill(Node node, RoutingCommand.StartPrefill c) {
    Engine e = accept(node, c.attempt(), c.upstream());
    if (e == null) {
      return;
    }
    int tokens = request(c.attempt()).promptTokens();
    long work = (long) (tokens * 1e9 / e.upstream.prefillTokensPerSecond() * e.slowness);
    e.busyUntil = Math.max(Math.max(now, e.stalledUntil), e.busyUntil) + work;
    at(e.busyUntil, () -> prefilled(node, e, c.attempt()));
  }

  private void prefilled(Node node, Engine e, AttemptId attempt) {
    if (e.held.remove(attempt) != null) {
      KvHandle kv = new KvHandle(e.upstream.id(), attempt.toString(), 1, now + Fixtures.KV_LIFE);
      node.event(new RoutingEvent.PrefillFinished(attempt, kv));
    }
  }

  private void decode(Node node, RoutingCommand.StartDecode c) {
    Engine e = accept(node, c.attempt(), c.upstream());
    if (e == null) {
      return;
    }
    if (now >= c.handle().expiresNanos()) {
      e.held.remove(c.attempt());
      after(MILLI, () -> failed(node, c.attempt(), Failure.KV_EXPIRED));
      return;
    }
    if (e.held.size() > e.upstream.slots()) {
      e.held.remove(c.attempt());
      after(MILLI, () -> failed(node, c.attempt(), Failure.REFUSED));
      return;
    }
    if (poison.contains(request(c.attempt()).fingerprint())) {
      after(100 * MILLI, () -> poisoned(e, c.attempt()));
    }
    long transfer = (long) (30 * MILLI * e.slowness);
    after(transfer, () -> decodeStep(node, e, c.attempt(), c.resumeFrom(), true));
  }

  private void poisoned(Engine e, AttemptId attempt) {
    if (e.held.containsKey(attempt)) {
      crash(e, 4 * SECOND);
    }
  }

  private void decodeStep(Node node, Engine e, AttemptId attempt, int sent, boolean first) {
    if (!e.held.containsKey(attempt)) {
      return;
    }
    if (now < e.stalledUntil) {
      at(e.stalledUntil, () -> decodeStep(node, e, attempt, sent, first));
      return;
    }
    if (first) {
      node.event(new RoutingEvent.DecodeStarted(attempt));
    } else {
      node.event(new RoutingEvent.TokensArrived(attempt, 1));
      if (now >= node.pausedUntil) {
        firstTokens.putIfAbsent(attempt.request(), now);
      }
    }
    int next = first ? sent : sent + 1;
    if (next >= outputTokens) {
      e.held.remove(attempt);
      node.event(new RoutingEvent.DecodeFinished(attempt));
    } else {
      long gap = (long) (40 * MILLI * e.slowness);
      after(gap, () -> decodeStep(node, e, attempt, next, false));
    }
  }
}
