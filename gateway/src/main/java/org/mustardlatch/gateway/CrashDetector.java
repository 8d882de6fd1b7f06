package org.mustardlatch.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.mustardlatch.gateway.config.Instance;
import org.mustardlatch.gateway.http.ConnectionProbe;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Tells upstream processes that crashed from connections that broke. Calls that break at the same
 * time share one probe of their upstream.
 *
 * <p>Used on the event loop of the data path only.
 */
final class CrashDetector {
  // Calls that may be repeated wait for the result.
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);

  private final EventLoop loop;
  private final FleetState fleet;
  private final GatewayMetrics metrics;
  private final Map<Instance, List<Consumer<Boolean>>> probes = new HashMap<>();

  CrashDetector(EventLoop loop, FleetState fleet, GatewayMetrics metrics) {
    this.loop = loop;
    this.fleet = fleet;
    this.metrics = metrics;
  }

  /**
   * Finds out whether an upstream crashed while it had a request.
   *
   * @param request the caller's id of the request whose call broke
   * @param content the digest of the request's content
   * @param consumer receives true if the process has ended without having been about to leave
   */
  void check(Instance target, String request, String content, Consumer<Boolean> consumer) {
    EventLog.log(LogEvent.CALL_BROKEN, request, content, target.id());
    List<Consumer<Boolean>> waiting = probes.get(target);
    if (waiting != null) {
      waiting.add(consumer);
      return;
    }
    probes.put(target, new ArrayList<>(List.of(consumer)));
    ConnectionProbe.start(loop, target.address(), PROBE_TIMEOUT, r -> finish(target, r));
  }

  private void finish(Instance target, ConnectionProbe.Result result) {
    boolean crashed = result == ConnectionProbe.Result.REFUSED && !isLeaving(target);
    EventLog.log(LogEvent.UPSTREAM_PROBED, target.id(), result, crashed);
    metrics.countProbe(result, crashed);
    List<Consumer<Boolean>> waiting = probes.remove(target);
    if (waiting != null) {
      waiting.forEach(c -> c.accept(crashed));
    }
  }

  /** Returns whether an upstream announced its end, or has been removed or replaced since. */
  private boolean isLeaving(Instance target) {
    Instance current = fleet.instance(target.id());
    return current == null || current.leaving() || !current.isSameProcess(target);
  }
}
