package org.mustardlatch.replay;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.Immutable;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.mustardlatch.core.manifest.CrossRegionLink;
import org.mustardlatch.core.manifest.LedgerPolicy;
import org.mustardlatch.core.manifest.Limits;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.core.manifest.Objective;
import org.mustardlatch.core.manifest.Region;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.manifest.Workspace;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.core.routing.Member;

/** The deployments of both users at today's size, with the demand that their callers make. */
public enum User {
  /** Wording for envelopes: 13 engines, callers that tolerate waiting. */
  TINTA(
      "wording",
      Objective.WASTE_AVERSE,
      new Shape(2000, 120, 2000, 60_000, 8000),
      ImmutableList.of(
          new Site("valle-central", "heredia", 3, 2, 3),
          new Site("valle-central", "cartago", 3, 2, 2),
          new Site("guanacaste", "liberia", 2, 2, 2))),
  /** Label specifications: 8 engines, callers that come in bursts. */
  VEVSTUA(
      "label",
      Objective.CREST_AVERSE,
      new Shape(2400, 120, 900, 30_000, 12_000),
      ImmutableList.of(
          new Site("oslo", "oslo-a", 3, 1, 2),
          new Site("oslo", "oslo-b", 3, 1, 1),
          new Site("bergen", "bergen-a", 2, 1, 2)));

  static final int SLOTS = 20;
  private static final int MEMORY_PIECES = 72;
  private static final long KV_BYTES_PER_TOKEN = 100_000;
  private static final Duration GAP_TARGET = Duration.ofMillis(68);
  private static final int MAX_PROMPT = 32_000;
  private static final CrossRegionLink LINK = new CrossRegionLink(2_000_000, 0.5);
  private static final int WORKSPACES = 3;

  private final String model;
  private final Objective objective;
  private final Shape shape;
  private final ImmutableList<Site> sites;

  User(String model, Objective objective, Shape shape, ImmutableList<Site> sites) {
    this.model = model;
    this.objective = objective;
    this.shape = shape;
    this.sites = sites;
  }

  /** Returns the user with this name in lower case. */
  public static User named(String name) {
    for (User u : values()) {
      if (u.wireName().equals(name)) {
        return u;
      }
    }
    throw new IllegalArgumentException("user \"" + name + "\" does not exist: tinta or vevstua");
  }

  /** Returns the name on the command line. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the objective that this user's manifest states. */
  public Objective objective() {
    return objective;
  }

  ModelId model() {
    return new ModelId(model);
  }

  Shape shape() {
    return shape;
  }

  List<Site> sites() {
    return sites;
  }

  WorkspaceId workspace(int index) {
    return new WorkspaceId(wireName() + "-" + index % WORKSPACES);
  }

  /** Returns the deployment with its manifest's objective replaced. */
  public Deployment deployment(Objective chosen) {
    return deployment(chosen, 1);
  }

  /**
   * Returns the deployment with more engines, for the cost of a decision at size.
   *
   * @param factor engines in each zone, times today's
   */
  Deployment deployment(Objective chosen, int factor) {
    List<Upstream> upstreams = new ArrayList<>();
    List<Member> nodes = new ArrayList<>();
    List<Region> regions = new ArrayList<>();
    for (Site s : sites) {
      addUpstreams(upstreams, s, factor);
      addNodes(nodes, s);
      regions.removeIf(r -> r.id().equals(s.regionId()));
      regions.add(new Region(s.regionId(), zonesOf(s.regionId())));
    }
    Manifest manifest =
        new Manifest(
            wireName(),
            chosen,
            regions,
            LINK,
            workspaces(),
            List.of(
                new Model(
                    model(),
                    Duration.ofMillis(shape.firstTokenMs()),
                    GAP_TARGET,
                    MAX_PROMPT,
                    KV_BYTES_PER_TOKEN)),
            upstreams,
            List.of(),
            new LedgerPolicy(Duration.ofHours(24), 300),
            new Limits(0.1, 0.02));
    return new Deployment(manifest, nodes);
  }

  private List<ZoneId> zonesOf(RegionId region) {
    return sites.stream().filter(s -> s.regionId().equals(region)).map(Site::zoneId).toList();
  }

  private List<Workspace> workspaces() {
    List<Workspace> result = new ArrayList<>();
    for (int i = 0; i < WORKSPACES; i++) {
      result.add(new Workspace(workspace(i), List.of(), 1, 100_000, 1_000_000));
    }
    return result;
  }

  private void addUpstreams(List<Upstream> to, Site s, int factor) {
    for (int i = 0; i < s.prefill() * factor; i++) {
      to.add(engine(s, "prefill-" + i, UpstreamRole.PREFILL));
    }
    for (int i = 0; i < s.decode() * factor; i++) {
      to.add(engine(s, "decode-" + i, UpstreamRole.DECODE));
    }
    UpstreamId id = new UpstreamId(s.zone() + "-app");
    URI url = URI.create("http://" + id + ":8000");
    to.add(
        new Upstream(id, UpstreamRole.APPLICATION, null, s.zoneId(), url, 50, 0, 0, false, false));
  }

  private Upstream engine(Site s, String name, UpstreamRole role) {
    UpstreamId id = new UpstreamId(s.zone() + "-" + name);
    int rate = role.prefills() ? shape.prefillTokensPerSecond() : 0;
    URI url = URI.create("http://" + id + ":8000");
    return new Upstream(
        id, role, model(), s.zoneId(), url, SLOTS, rate, MEMORY_PIECES, true, false);
  }

  private static void addNodes(List<Member> to, Site s) {
    for (int i = 0; i < s.nodes(); i++) {
      to.add(new Member(new HostId(s.zone() + "-node-" + i), s.regionId(), s.zoneId(), 1));
    }
  }

  /**
   * Demand and speed.
   *
   * @param promptTokens mean length of a prompt
   * @param outputTokens mean length of an answer
   * @param firstTokenMs target and deadline of the first token
   * @param finalMs final deadline
   * @param prefillTokensPerSecond rate of a prefill engine
   */
  @Immutable
  record Shape(
      int promptTokens,
      int outputTokens,
      int firstTokenMs,
      int finalMs,
      int prefillTokensPerSecond) {}

  /** What stands in one availability zone. */
  @Immutable
  record Site(String region, String zone, int nodes, int prefill, int decode) {
    RegionId regionId() {
      return new RegionId(region);
    }

    ZoneId zoneId() {
      return new ZoneId(zone);
    }
  }
}
