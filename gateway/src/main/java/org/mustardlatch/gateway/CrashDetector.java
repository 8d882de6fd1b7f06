package org.mustardlatch.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.http.ConnectionProbe;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Tells upstream processes that crashed from connections that broke, and reports crashes to the
 * router. Calls that break at the same time share one probe of their upstream.
 *
 * <p>Used on the event loop of the data path only.
 */
final class CrashDetector {
  // Calls that may be repeated wait for the result.
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);

  private static final Duration GIVEN_UP_CALL_DELAY = Duration.ofMillis(500);

  private record BrokenCall(Fingerprint fingerprint, long sentNanos, Consumer<Boolean> consumer) {}

  private final EventLoop loop;
  private final FleetState fleet;
  private final GatewayMetrics metrics;
  private final Consumer<RoutingEvent> router;
  private final Map<Instance, List<BrokenCall>> brokenCalls = new HashMap<>();

  CrashDetector(
      EventLoop loop, FleetState fleet, GatewayMetrics metrics, Consumer<RoutingEvent> router) {
    this.loop = loop;
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
    BrokenCall call = new BrokenCall(exchange.fingerprint(), sentNanos, consumer);
    List<BrokenCall> probing = brokenCalls.get(target);
    if (probing != null) {
      probing.add(call);
      return;
    }
    brokenCalls.put(target, new ArrayList<>(List.of(call)));
    ConnectionProbe.start(loop, target.address(), PROBE_TIMEOUT, r -> finish(target, r));
  }

  /**
   * Checks some time later whether an upstream has crashed that did not respond to a request. Its
   * process may end only after the call has been given up.
   */
  void checkLater(Instance target, RoutedExchange exchange, long sentNanos) {
    var unused =
        loop.schedule(
            () -> check(target, exchange, sentNanos, crashed -> {}),
            GIVEN_UP_CALL_DELAY.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  private void finish(Instance target, ConnectionProbe.Result result) {
    boolean crashed = result == ConnectionProbe.Result.REFUSED && !isLeaving(target);
    EventLog.log(LogEvent.UPSTREAM_PROBED, target.id(), result, crashed);
    metrics.countProbe(result, crashed);
    List<BrokenCall> calls = brokenCalls.remove(target);
    if (calls == null) {
      return;
    }
    if (crashed) {
      router.accept(
          new RoutingEvent.UpstreamCrashed(
              new UpstreamId(target.id()),
              target.id() + "/" + target.startedMillis(),
              calls.stream().map(BrokenCall::fingerprint).distinct().toList(),
              calls.stream().mapToLong(BrokenCall::sentNanos).max().orElseThrow()));
    }
    calls.forEach(c -> c.consumer().accept(crashed));
  }

  /** Returns whether an upstream announced its end, or has been removed or replaced since. */
  private boolean isLeaving(Instance target) {
    Instance current = fleet.instance(target.id());
    return current == null || current.leaving() || !current.isSameProcess(target);
  }
}
