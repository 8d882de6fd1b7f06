package org.mustardlatch.replay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.core.time.TimerService;

/** Applies the faults of a trace and ends them after their duration. */
final class Faults {
  private final TimerService timers;
  private final Fleet fleet;
  private final Map<UpstreamId, FakeEngine> engines;
  private final Network network;
  private final Consumer<ReplayNode> nodeDied;
  private final Runnable regionsSplit;

  /**
   * Creates the faults.
   *
   * @param nodeDied told about each node that died
   * @param regionsSplit told when the link between the regions was cut
   */
  Faults(
      TimerService timers,
      Fleet fleet,
      Map<UpstreamId, FakeEngine> engines,
      Network network,
      Consumer<ReplayNode> nodeDied,
      Runnable regionsSplit) {
    this.timers = timers;
    this.fleet = fleet;
    this.engines = engines;
    this.network = network;
    this.nodeDied = nodeDied;
    this.regionsSplit = regionsSplit;
  }

  void plan(TraceLine.Fault f) {
    timers.schedule(Duration.ofMillis(f.atMs()), () -> begin(f));
  }

  private void begin(TraceLine.Fault f) {
    switch (f.kind()) {
      case STRAGGLER -> {
        FakeEngine e = engine(f.target());
        e.slowDown(f.factor());
        after(f, () -> e.slowDown(1));
      }
      case UPSTREAM_DEATH -> {
        FakeEngine e = engine(f.target());
        e.die(false);
        after(f, e::revive);
      }
      case LINK_SLOWDOWN -> {
        FakeLink link = network.link(f.target());
        link.slowDown(f.factor());
        after(f, () -> link.slowDown(1));
      }
      case LINK_CUT, REGION_SPLIT -> cut(f);
      case ZONE_LOST -> loseZone(f);
      case NODE_DEATH -> loseNodes(f, List.of(fleet.node(new HostId(f.target()))));
    }
  }

  private void cut(TraceLine.Fault f) {
    FakeLink link = network.link(f.target());
    link.setCut(true);
    if (link == network.cross()) {
      regionsSplit.run();
    }
    after(f, () -> link.setCut(false));
  }

  private void loseZone(TraceLine.Fault f) {
    ZoneId zone = new ZoneId(f.target());
    for (FakeEngine e : engines.values()) {
      if (e.upstream().zone().equals(zone)) {
        e.die(true);
        after(f, e::revive);
      }
    }
    loseNodes(f, fleet.live(n -> n.member().zone().equals(zone)));
  }

  private void loseNodes(TraceLine.Fault f, List<ReplayNode> lost) {
    lost.forEach(fleet::die);
    lost.forEach(nodeDied);
    lost.forEach(n -> after(f, () -> fleet.replace(n)));
  }

  private void after(TraceLine.Fault f, Runnable end) {
    timers.schedule(Duration.ofMillis(f.durationMs()), end);
  }

  private FakeEngine engine(String name) {
    FakeEngine e = engines.get(new UpstreamId(name));
    if (e == null) {
      throw new IllegalArgumentException("upstream \"" + name + "\" does not exist");
    }
    return e;
  }
}
