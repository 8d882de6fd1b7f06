package org.mustardlatch.replay;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.routing.GenerationRequest;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;

/** The callers of a trace: they send requests, receive answers, go away and come back. */
final class Callers {
  private static final int BYTES_PER_PROMPT_TOKEN = 4;
  private static final int OUTPUT_STEP = 128;

  /** How long after the final deadline a caller stays for a final answer. */
  private static final Duration GRACE = Duration.ofSeconds(1);

  /** Pause before a caller whose connection broke comes back. */
  private static final Duration RECONNECT = Duration.ofMillis(200);

  private final TimerService timers;
  private final EntryBalancer balancer;
  private final PrefillAccount account;
  private final Map<RequestId, Try> tries = new LinkedHashMap<>();
  private final Map<String, Integer> refusals = new TreeMap<>();
  private int calls;
  private int pending;
  private int secondFinals;

  Callers(TimerService timers, EntryBalancer balancer, PrefillAccount account) {
    this.timers = timers;
    this.balancer = balancer;
    this.account = account;
  }

  void plan(TraceLine.Arrival arrival) {
    int call = calls++;
    pending++;
    timers.schedule(Duration.ofMillis(arrival.atMs()), () -> start(call, 0, arrival));
  }

  /** Returns whether a caller still waits or will come. */
  boolean isBusy() {
    return pending > 0;
  }

  List<Try> tries() {
    return new ArrayList<>(tries.values());
  }

  Try find(RequestId id) {
    Try t = tries.get(id);
    if (t == null) {
      throw new IllegalStateException("a command names request " + id + ", which does not exist");
    }
    return t;
  }

  int calls() {
    return calls;
  }

  /** Refusals by error code. */
  Map<String, Integer> refusals() {
    return refusals;
  }

  /** Returns how often a request got a second final answer. */
  int secondFinals() {
    return secondFinals;
  }

  void complete(RequestId id) {
    Try t = find(id);
    if (!end(t, Ending.COMPLETE)) {
      countSecond(t);
    } else if (t.ending() == Ending.COMPLETE) {
      account.used(t.reference());
    }
  }

  void refuse(RoutingCommand.Refuse r) {
    Try t = find(r.request());
    if (!end(t, Ending.REFUSED)) {
      countSecond(t);
      return;
    }
    refusals.merge(r.code().wireName(), 1, Integer::sum);
    if (!r.retryAfter().isZero()) {
      comeBack(t, r.retryAfter());
    }
  }

  /** Breaks the connections to a node that died. */
  void nodeDied(ReplayNode node) {
    for (Try t : tries()) {
      if (t.node() == node && end(t, Ending.NODE_LOST)) {
        comeBack(t, RECONNECT);
      }
    }
  }

  private void countSecond(Try t) {
    if (t.ending() != Ending.CANCELLED && t.ending() != Ending.MISSING) {
      secondFinals++;
    }
  }

  private void comeBack(Try t, Duration pause) {
    if (t.number() < t.arrival().retries()) {
      pending++;
      timers.schedule(pause, () -> start(t.call(), t.number() + 1, t.arrival()));
    }
  }

  private void start(int call, int number, TraceLine.Arrival a) {
    ReplayNode node = balancer.pick(a.region(), a.zone());
    GenerationRequest request = request(call, number, a);
    Try t = new Try(call, number, a, request, node, timers.nanos());
    tries.put(request.id(), t);
    node.handle(new RoutingEvent.RequestArrived(request));
    if (a.cancelMs().isPresent()) {
      Duration cancel = Duration.ofMillis(a.cancelMs().getAsLong());
      timers.schedule(cancel, () -> leave(t, Ending.CANCELLED));
    }
    timers.schedule(Duration.ofMillis(a.finalMs()).plus(GRACE), () -> leave(t, Ending.MISSING));
  }

  private void leave(Try t, Ending how) {
    if (end(t, how)) {
      t.node().handle(new RoutingEvent.CallerDisconnected(t.request().id()));
    }
  }

  private boolean end(Try t, Ending how) {
    boolean ended = t.end(how);
    if (ended) {
      pending--;
    }
    return ended;
  }

  private GenerationRequest request(int call, int number, TraceLine.Arrival a) {
    long now = timers.nanos();
    int steps = (a.outputTokens() + OUTPUT_STEP - 1) / OUTPUT_STEP;
    return new GenerationRequest(
        new RequestId("c" + call + "-" + number),
        a.workspace(),
        a.model(),
        a.promptTokens(),
        steps * OUTPUT_STEP,
        a.promptTokens() * BYTES_PER_PROMPT_TOKEN,
        blocks(call, a),
        new Fingerprint(Hashing.sha256().hashInt(call).toString()),
        now + Duration.ofMillis(a.firstTokenMs()).toNanos(),
        now + Duration.ofMillis(a.finalMs()).toNanos());
  }

  private static List<Long> blocks(int call, TraceLine.Arrival a) {
    List<Long> blocks = new ArrayList<>();
    for (int i = 0; (i + 1) * PrefixCache.BLOCK_TOKENS <= a.promptTokens(); i++) {
      boolean shared = (i + 1) * PrefixCache.BLOCK_TOKENS <= a.prefixTokens();
      String content = (shared ? "p" + a.prefix() : "c" + call) + "/" + i;
      blocks.add(Hashing.murmur3_128().hashString(content, StandardCharsets.UTF_8).asLong());
    }
    return blocks;
  }
}
