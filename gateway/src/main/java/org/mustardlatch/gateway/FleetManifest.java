package org.mustardlatch.gateway;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;
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
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.gateway.config.EngineStage;
import org.mustardlatch.gateway.config.EngineTraits;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.config.GatewayRoute;
import org.mustardlatch.gateway.config.GatewayService;
import org.mustardlatch.gateway.config.Instance;

/** The fleet in the form that the routing decisions take: a manifest made of what is registered. */
final class FleetManifest {
  // Engines allocate KV memory in blocks of a few tokens.
  private static final int TOKENS_PER_PIECE = 16;
  private static final int BLOCK_TOKENS = 256;

  // Where the configuration does not state how fast engines are, the pace is learned from here.
  private static final int USUAL_PREFILL_TOKENS_PER_SECOND = 20_000;
  private static final Duration USUAL_FIRST_TOKEN = Duration.ofMillis(900);
  private static final Duration USUAL_TOKEN_GAP = Duration.ofMillis(70);

  // A tenth of a narrow link of 20 Mbit/s to another region, for all requests of the fleet.
  private static final CrossRegionLink LINK = new CrossRegionLink(2_500_000, 0.3);
  private static final Limits LIMITS = new Limits(0.1, 0.02);

  // Answers that come late are worth little to callers; they wait for those that are in time.
  private static final double LATE_SHARE = 0.5;

  private FleetManifest() {}

  /** Returns a manifest of all engines, or null before there is a configuration. */
  static @Nullable Manifest of(Fleet fleet, GatewaySettings settings) {
    GatewayConfiguration c = fleet.configuration();
    if (c == null) {
      return null;
    }
    List<Model> models = new ArrayList<>();
    List<Upstream> upstreams = new ArrayList<>();
    for (GatewayService s : c.services()) {
      EngineTraits engine = s.engine();
      if (engine != null) {
        models.add(model(s, engine, c));
        for (Instance i : fleet.all()) {
          if (i.service().equals(s.name())) {
            upstreams.add(upstream(i, engine));
          }
        }
      }
    }
    return new Manifest(
        "fleet",
        Objective.WASTE_AVERSE,
        regions(settings),
        LINK,
        List.of(workspace(GenerationPath.IN_TIME, 1), workspace(GenerationPath.LATE, LATE_SHARE)),
        models,
        upstreams,
        List.of(),
        new LedgerPolicy(Duration.ofHours(24), 1),
        LIMITS);
  }

  private static Workspace workspace(WorkspaceId id, double weight) {
    return new Workspace(id, List.of(), weight, Integer.MAX_VALUE, Integer.MAX_VALUE);
  }

  private static List<Region> regions(GatewaySettings settings) {
    Map<RegionId, List<ZoneId>> zones = new LinkedHashMap<>();
    settings.regions().forEach((z, r) -> zones.computeIfAbsent(r, k -> new ArrayList<>()).add(z));
    return zones.entrySet().stream().map(e -> new Region(e.getKey(), e.getValue())).toList();
  }

  private static Model model(GatewayService s, EngineTraits engine, GatewayConfiguration c) {
    Duration first = USUAL_FIRST_TOKEN;
    for (GatewayRoute r : c.routes()) {
      if (r.services().stream().anyMatch(w -> w.service().equals(s.name()))) {
        first = r.latencyTarget();
      }
    }
    return new Model(
        new ModelId(modelName(s.name())),
        first,
        USUAL_TOKEN_GAP,
        engine.memoryTokens(),
        engine.kvBytesPerToken(),
        TOKENS_PER_PIECE,
        !engine.longestReservation().isZero());
  }

  private static Upstream upstream(Instance i, EngineTraits engine) {
    boolean prefill = i.stage() == EngineStage.PREFILL;
    int rate = USUAL_PREFILL_TOKENS_PER_SECOND;
    return new Upstream(
        new UpstreamId(i.id()),
        prefill ? UpstreamRole.PREFILL : UpstreamRole.DECODE_WITH_PROMPT,
        new ModelId(modelName(i.service())),
        new ZoneId(i.zone()),
        URI.create("http://" + i.address().getHostString() + ":" + i.address().getPort()),
        i.slots(),
        // An engine of the decode pool reads prompts at half the speed.
        prefill ? rate : rate / 2,
        engine.memoryTokens() / TOKENS_PER_PIECE,
        true,
        i.leaving());
  }

  /** Returns the name by which the decisions know the model of a service. */
  static String modelName(String service) {
    return service.toLowerCase(Locale.ROOT);
  }

  /** Returns names of the prompt's blocks; equal parts of prompts have equal names. */
  static List<Long> blocks(List<CallerRequest.PromptPart> parts) {
    List<Long> result = new ArrayList<>();
    for (CallerRequest.PromptPart p : parts) {
      for (int i = 0; i < p.tokens() / BLOCK_TOKENS; i++) {
        result.add(p.id() * 31 + i);
      }
    }
    return result;
  }

  /** Returns the digest of what an upstream runs. */
  static String fingerprint(Exchange exchange) {
    Hasher h = Hashing.sha256().newHasher();
    h.putString(exchange.caller().head().uri(), StandardCharsets.UTF_8);
    h.putBytes(exchange.caller().body());
    return h.hash().toString();
  }
}
