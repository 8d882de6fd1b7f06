package org.mustardlatch.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.http.ConnectionProbe;
import org.mustardlatch.gateway.http.ConnectionWatch;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Tells upstream processes that crashed from connections that broke, and reports crashes to the
 * router with the requests that the upstream had. Calls that break at the same time share one probe
 * of their upstream. Calls that were cancelled share one connection to it that ends with its
 * process.
 *
 * <p>Used on the event loop of the data path only.
 */
final class CrashDetector {
  // Calls that may be repeated wait for the result.
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);

  // An upstream may still run a request whose call was cancelled.
  private static final Duration OBSERVATION_TIME = Duration.ofSeconds(2);

  // An upstream that is at its limit of connections closes new ones at once.
  private static final Duration WATCH_RETRY_INTERVAL = Duration.ofMillis(200);

  private record BrokenCall(Fingerprint fingerprint, long sentNanos, Consumer<Boolean> consumer) {}

  private record AbandonedCall(
      Fingerprint fingerprint, List<Fingerprint> sharedPromptParts, long sentNanos) {}

  /** The cancelled calls of an upstream that it may still run. */
  private static final class Observation {
    final List<AbandonedCall> calls = new ArrayList<>();
    @Nullable ConnectionWatch watch;
  }

  private final EventLoop loop;
  private final TimerService timers;
  private final FleetState fleet;
  private final GatewayMetrics metrics;
  private final Consumer<RoutingEvent> router;
  private final Map<Instance, List<BrokenCall>> brokenCalls = new HashMap<>();
  private final Map<Instance, Observation> observations = new HashMap<>();

  CrashDetector(
      EventLoop loop,
      TimerService timers,
      FleetState fleet,
      GatewayMetrics metrics,
      Consumer<RoutingEvent> router) {
    this.loop = loop;
    this.timers = timers;
    this.fleet = fleet;
    this.metrics = metrics;
    this.router = router;
  }

  /**
   * Finds out whether an upstream crashed while it had a request.
   *
   * @param exchange the request whose call broke
   * @param sentNanos monotonic time at which it was sent
   * @param consumer receives true if the process has ended without having been about to leave
   */
  void check(Instance target, RoutedExchange exchange, long sentNanos, Consumer<Boolean> consumer) {
    EventLog.log(
        LogEvent.CALL_BROKEN, exchange.callerRequestId(), exchange.contentId(), target.id());
    probe(target).add(new BrokenCall(exchange.fingerprint(), sentNanos, consumer));
  }

  /** Starts a probe unless one is in progress, and returns the calls that wait for its result. */
  private List<BrokenCall> probe(Instance target) {
    List<BrokenCall> waiting = brokenCalls.get(target);
    if (waiting == null) {
      waiting = new ArrayList<>();
      brokenCalls.put(target, waiting);
      ConnectionProbe.start(loop, target.address(), PROBE_TIMEOUT, r -> probeFinished(target, r));
    }
    return waiting;
  }

  /**
   * Observes an upstream for some time after a call was cancelled, which it may still run.
   *
   * @param exchange the request whose call was cancelled
   * @param sentNanos monotonic time at which it was sent
   */
  void observe(Instance target, RoutedExchange exchange, long sentNanos) {
    EventLog.log(
        LogEvent.CALL_ABANDONED, exchange.callerRequestId(), exchange.contentId(), target.id());
    Observation observation = observations.computeIfAbsent(target, t -> new Observation());
    var call = new AbandonedCall(exchange.fingerprint(), exchange.sharedPromptParts(), sentNanos);
    observation.calls.add(call);
    if (observation.calls.size() == 1) {
      openWatch(target, observation);
    }
    timers.schedule(OBSERVATION_TIME, () -> dropCall(target, call));
  }

  private void openWatch(Instance target, Observation observation) {
    observation.watch =
        ConnectionWatch.open(loop, target.address(), PROBE_TIMEOUT, () -> watchEnded(target));
  }

  private void watchEnded(Instance target) {
    Observation observation = observations.get(target);
    if (observation != null) {
      observation.watch = null;
      var unused = probe(target);
    }
  }

  private void reopenWatch(Instance target) {
    Observation observation = observations.get(target);
    if (observation != null && observation.watch == null) {
      openWatch(target, observation);
    }
  }

  private void dropCall(Instance target, AbandonedCall call) {
    Observation observation = observations.get(target);
    if (observation != null && observation.calls.remove(call) && observation.calls.isEmpty()) {
      var unused = endObservation(target);
    }
  }

  /** Ends the observation of an upstream and returns the cancelled calls that it may still run. */
  private List<AbandonedCall> endObservation(Instance target) {
    Observation observation = observations.remove(target);
    if (observation == null) {
      return List.of();
    }
    if (observation.watch != null) {
      observation.watch.close();
    }
    return observation.calls;
  }

  private void probeFinished(Instance target, ConnectionProbe.Result result) {
    boolean crashed = result == ConnectionProbe.Result.REFUSED && !isLeaving(target);
    EventLog.log(LogEvent.UPSTREAM_PROBED, target.id(), result, crashed);
    metrics.countProbe(result, crashed);
    List<BrokenCall> broken = brokenCalls.remove(target);
    if (broken == null) {
      return;
    }
    if (crashed) {
      reportCrash(target, broken, endObservation(target));
    } else {
      timers.schedule(WATCH_RETRY_INTERVAL, () -> reopenWatch(target));
    }
    broken.forEach(c -> c.consumer().accept(crashed));
  }

  private void reportCrash(
      Instance target, List<BrokenCall> broken, List<AbandonedCall> abandoned) {
    List<Fingerprint> running = new ArrayList<>();
    List<RoutingEvent.AbandonedPrompt> prompts = new ArrayList<>();
    long lastSentNanos = Long.MIN_VALUE;
    for (BrokenCall c : broken) {
      running.add(c.fingerprint());
      lastSentNanos = Math.max(lastSentNanos, c.sentNanos());
    }
    for (AbandonedCall c : abandoned) {
      running.add(c.fingerprint());
      prompts.add(new RoutingEvent.AbandonedPrompt(c.sharedPromptParts(), c.sentNanos()));
      lastSentNanos = Math.max(lastSentNanos, c.sentNanos());
    }
    if (!running.isEmpty()) {
      router.accept(
          new RoutingEvent.UpstreamCrashed(
              target.upstreamId(),
              target.id() + "/" + target.startedMillis(),
              running.stream().distinct().toList(),
              lastSentNanos,
              prompts));
    }
  }

  /** Returns whether an upstream announced its end, or has been removed or replaced since. */
  private boolean isLeaving(Instance target) {
    Instance current = fleet.instance(target.id());
    return current == null || current.leaving() || !current.isSameProcess(target);
  }
}
