package org.mustardlatch.replay;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.routing.LoadReport;
import org.mustardlatch.core.routing.RoutingCommand;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.VirtualTimerService;

/**
 * Replays one trace through the routing decisions of all nodes in virtual time. The same
 * deployment, policy, trace and seed give the same report, timing figures aside.
 */
public final class ReplayDriver {
  private static final Duration REPORT_PERIOD = Duration.ofMillis(500);
  private static final Duration REPORT_LAG = Duration.ofSeconds(1);
  private static final Duration LISTING_PERIOD = Duration.ofSeconds(2);

  /** Time after the last answer in which results of prefills expire. */
  private static final Duration SETTLE = Duration.ofSeconds(2);

  private final VirtualTimerService timers = new VirtualTimerService();
  private final DecisionTimes times = new DecisionTimes();
  private final PrefillAccount account = new PrefillAccount();
  private final Map<UpstreamId, FakeEngine> engines = new LinkedHashMap<>();
  private final Manifest manifest;
  private final Network network;
  private final Dispatcher dispatcher;
  private final Fleet fleet;
  private final Callers callers;

  private ReplayDriver(Deployment deployment, PolicyFactory factory, long seed) {
    RandomGenerator random = Randoms.seeded(seed);
    manifest = deployment.manifest();
    network = new Network(manifest, timers);
    for (Upstream u : manifest.upstreams()) {
      if (u.model() != null) {
        long kvBytes = manifest.model(u.model()).map(Model::kvBytesPerToken).orElseThrow();
        RandomGenerator own = Randoms.seeded(random.nextLong());
        engines.put(u.id(), new FakeEngine(u, kvBytes, timers, own, account));
      }
    }
    dispatcher = new Dispatcher(manifest, timers, network, engines);
    fleet = new Fleet(deployment, factory, timers, random, this::execute, times);
    callers = new Callers(timers, new EntryBalancer(fleet.nodes()), account);
    fleet.start();
  }

  /**
   * Replays a trace.
   *
   * @param deployment manifest and nodes
   * @param factory makes the policy under test
   * @param trace lines of the trace, in any order
   * @param seed of all random numbers of the fakes and the policies
   * @throws IllegalArgumentException when a fault names something that the manifest does not have
   */
  public static ReplayReport run(
      Deployment deployment, PolicyFactory factory, List<TraceLine> trace, long seed) {
    return new ReplayDriver(deployment, factory, seed).replay(trace);
  }

  private void execute(ReplayNode node, RoutingCommand command) {
    dispatcher.execute(node, command, callers, fleet);
  }

  private ReplayReport replay(List<TraceLine> trace) {
    Faults faults =
        new Faults(
            timers,
            fleet,
            engines,
            network,
            callers::nodeDied,
            () -> dispatcher.splitRegions(fleet));
    for (TraceLine line : trace) {
      switch (line) {
        case TraceLine.Arrival a -> callers.plan(a);
        case TraceLine.Fault f -> faults.plan(f);
        case TraceLine.Crest c -> {}
      }
    }
    reportLoads();
    listHeld();
    timers.scheduleRepeating(REPORT_PERIOD, this::reportLoads);
    timers.scheduleRepeating(LISTING_PERIOD, this::listHeld);
    while (callers.isBusy()) {
      timers.runNext();
    }
    timers.advance(SETTLE);
    return new Measurement(manifest, trace, callers, account, network.cross().carriedBytes())
        .report(times, dispatcher.rules());
  }

  private void reportLoads() {
    for (FakeEngine e : engines.values()) {
      if (e.isAlive()) {
        LoadReport report = e.load();
        RoutingEvent event = new RoutingEvent.LoadReported(e.upstream().id(), report);
        timers.schedule(REPORT_LAG, () -> tellReachable(e, event));
      }
    }
  }

  private void listHeld() {
    for (FakeEngine e : engines.values()) {
      if (e.isAlive()) {
        tellReachable(e, new RoutingEvent.AttemptsListed(e.upstream().id(), e.held()));
      }
    }
  }

  private void tellReachable(FakeEngine engine, RoutingEvent event) {
    RegionId region = manifest.regionOf(engine.upstream().zone()).orElseThrow();
    fleet.live(n -> network.reachable(n.member().region(), region)).forEach(n -> n.handle(event));
  }
}
