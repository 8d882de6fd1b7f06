package org.mustardlatch.replay;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.core.manifest.Region;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.time.TimerService;

/** Latencies and links: one link in each region and one between the regions. */
final class Network {
  /** Name of the link between the regions in traces. */
  static final String CROSS = "cross";

  /** One way, within a region. */
  static final Duration LOCAL_LATENCY = Duration.ofNanos(300_000);

  /** One way, between regions. */
  static final Duration CROSS_LATENCY = Duration.ofMillis(25);

  /** A region's link carries this many times what its prefill engines export at full rate. */
  private static final double LINK_HEADROOM = 4;

  private final TimerService timers;
  private final Map<String, FakeLink> links = new LinkedHashMap<>();
  private final FakeLink cross;

  Network(Manifest manifest, TimerService timers) {
    this.timers = timers;
    for (Region r : manifest.regions()) {
      links.put(r.id().value(), new FakeLink(timers, regionRate(manifest, r)));
    }
    cross = new FakeLink(timers, manifest.link().bytesPerSecond());
    links.put(CROSS, cross);
  }

  private static double regionRate(Manifest manifest, Region region) {
    double rate = 1;
    for (Upstream u : manifest.upstreams()) {
      if (u.model() != null && u.role().prefills() && region.zones().contains(u.zone())) {
        long kvBytes = manifest.model(u.model()).map(Model::kvBytesPerToken).orElse(0L);
        rate += LINK_HEADROOM * u.prefillTokensPerSecond() * kvBytes;
      }
    }
    return rate;
  }

  /** Returns the link with this name in traces. */
  FakeLink link(String name) {
    FakeLink link = links.get(name);
    if (link == null) {
      throw new IllegalArgumentException("link \"" + name + "\" does not exist");
    }
    return link;
  }

  FakeLink cross() {
    return cross;
  }

  /** Returns the link that carries a KV cache between two regions or within one. */
  FakeLink between(RegionId a, RegionId b) {
    return a.equals(b) ? link(a.value()) : cross;
  }

  boolean reachable(RegionId a, RegionId b) {
    return a.equals(b) || !cross.isCut();
  }

  /** Sends something small; what crosses a cut link is lost. */
  void send(RegionId from, RegionId to, long bytes, Runnable arrive) {
    if (from.equals(to)) {
      timers.schedule(LOCAL_LATENCY, arrive);
    } else if (!cross.isCut()) {
      cross.count(bytes);
      timers.schedule(CROSS_LATENCY, arrive);
    }
  }

  /** Sends a prompt, which takes its share of the link between regions when it crosses. */
  void sendPrompt(RegionId from, RegionId to, long bytes, Runnable arrive) {
    if (from.equals(to)) {
      timers.schedule(LOCAL_LATENCY, arrive);
    } else {
      cross.transfer(bytes, () -> timers.schedule(CROSS_LATENCY, arrive));
    }
  }
}
