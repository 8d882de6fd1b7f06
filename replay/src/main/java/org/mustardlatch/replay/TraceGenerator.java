package org.mustardlatch.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/** Generates traces: Poisson arrivals in each zone by what its region carries. */
public final class TraceGenerator {
  /** Arrivals start late enough that nodes have heard of each other and of all engines. */
  private static final long START_MS = 3_000;

  private static final long LENGTH_MS = 60_000;
  private static final long FAULT_MS = START_MS + 15_000;
  private static final int PREFIXES = 100;
  private static final double CANCELLED = 0.01;

  private final User user;
  private final TraceKind kind;
  private final int scale;
  private final RandomGenerator random;

  private TraceGenerator(User user, TraceKind kind, long seed, int scale) {
    this.user = user;
    this.kind = kind;
    this.scale = scale;
    this.random = Randoms.seeded(seed);
  }

  /**
   * Generates a trace of 60 s.
   *
   * @param seed the same seed gives the same trace
   */
  public static List<TraceLine> generate(User user, TraceKind kind, long seed) {
    return generate(user, kind, seed, 1);
  }

  /** Generates a trace with the given multiple of the load, for a deployment of that size. */
  static List<TraceLine> generate(User user, TraceKind kind, long seed, int scale) {
    return new TraceGenerator(user, kind, seed, scale).lines();
  }

  private List<TraceLine> lines() {
    List<TraceLine> lines = new ArrayList<>(faults());
    lines.add(crest());
    user.sites().forEach(site -> addArrivals(lines, site, scale * share(site)));
    lines.sort(Comparator.comparingLong(TraceLine::atMs));
    return List.copyOf(lines);
  }

  /** Returns what the site's callers send at load 1, requests a second. */
  private double share(User.Site site) {
    double regional = Capacity.byRegion(user).getOrDefault(site.regionId(), 0.0);
    int nodes =
        user.sites().stream()
            .filter(s -> s.regionId().equals(site.regionId()))
            .mapToInt(User.Site::nodes)
            .sum();
    return regional * site.nodes() / nodes;
  }

  private void addArrivals(List<TraceLine> lines, User.Site site, double share) {
    double peak = share * 3;
    double ms = START_MS;
    while (true) {
      ms += -Math.log(1 - random.nextDouble()) / peak * 1000;
      if (ms >= START_MS + LENGTH_MS) {
        return;
      }
      if (random.nextDouble() * 3 < load(site, ms - START_MS)) {
        lines.add(arrival((long) ms, site));
      }
    }
  }

  private double load(User.Site site, double ms) {
    boolean first = site.region().equals(user.sites().getFirst().region());
    return switch (kind) {
      case STEADY, ZONE_LOST -> 0.6;
      case STRAGGLERS, NO_STRAGGLERS -> 0.7;
      case MIXED -> 0.8;
      case PREFIXES -> 0.9;
      case CAPACITY -> 1;
      case TRIPLE -> 3;
      case LINK_SATURATED -> first ? 1.3 : 0.4;
      case SWING -> swing(ms / 1000);
    };
  }

  private static double swing(double seconds) {
    if (seconds < 20 || seconds >= 39) {
      return 0.5;
    }
    if (seconds < 22) {
      return 0.5 + 2.5 * (seconds - 20) / 2;
    }
    return seconds < 37 ? 3 : 3 - 2.5 * (seconds - 37) / 2;
  }

  private TraceLine.Crest crest() {
    return switch (kind) {
      case SWING -> new TraceLine.Crest(START_MS + 20_000, 19_000);
      case STRAGGLERS, NO_STRAGGLERS, ZONE_LOST, LINK_SATURATED ->
          new TraceLine.Crest(FAULT_MS, 25_000);
      default -> new TraceLine.Crest(START_MS + 10_000, LENGTH_MS - 10_000);
    };
  }

  private List<TraceLine> faults() {
    User.Site first = user.sites().get(0);
    return switch (kind) {
      case STRAGGLERS ->
          List.of(straggler(first.zone() + "-prefill-0"), straggler(first.zone() + "-decode-0"));
      case ZONE_LOST -> {
        String zone = user.sites().get(1).zone();
        yield List.of(new TraceLine.Fault(FAULT_MS, FaultKind.ZONE_LOST, zone, 1, 25_000));
      }
      case LINK_SATURATED ->
          List.of(
              new TraceLine.Fault(FAULT_MS, FaultKind.LINK_SLOWDOWN, Network.CROSS, 10, 25_000));
      default -> List.of();
    };
  }

  private static TraceLine straggler(String engine) {
    return new TraceLine.Fault(FAULT_MS, FaultKind.STRAGGLER, engine, 4, 30_000);
  }

  private TraceLine.Arrival arrival(long ms, User.Site site) {
    User.Shape shape = user.shape();
    int prompt = prompt(shape);
    boolean shared = kind == TraceKind.PREFIXES;
    int output = Math.max(1, (int) (shape.outputTokens() * (0.3 + 1.4 * random.nextDouble())));
    boolean cancelled = random.nextDouble() < CANCELLED;
    long cancel = (long) (random.nextDouble() * 3000);
    return new TraceLine.Arrival(
        ms,
        site.regionId(),
        site.zoneId(),
        user.workspace(random.nextInt(1000)),
        user.model(),
        prompt,
        shared ? "style-" + random.nextInt(PREFIXES) : "",
        shared ? Math.min(prompt, shape.promptTokens() * 6 / 10) : 0,
        output,
        shape.firstTokenMs(),
        shape.finalMs(),
        true,
        cancelled ? OptionalLong.of(cancel) : OptionalLong.empty(),
        retries());
  }

  private int prompt(User.Shape shape) {
    if (kind == TraceKind.MIXED) {
      // A fifth at three times the mean and the rest at half of it keep the mean.
      return random.nextInt(5) == 0 ? shape.promptTokens() * 3 : shape.promptTokens() / 2;
    }
    return (int) (shape.promptTokens() * (0.5 + random.nextDouble()));
  }

  private int retries() {
    return kind == TraceKind.SWING || kind == TraceKind.ZONE_LOST ? 2 : 0;
  }
}
