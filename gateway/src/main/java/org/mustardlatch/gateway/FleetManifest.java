package org.mustardlatch.gateway;

import com.google.common.hash.Hashing;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
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
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.Identifiers;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.gateway.config.EngineSpec;
import org.mustardlatch.gateway.config.EngineStage;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.config.GatewayRoute;
import org.mustardlatch.gateway.config.GatewayService;
import org.mustardlatch.gateway.config.Instance;

/**
 * Builds the manifest that routing decisions use from the active configuration and the registered
 * engines. Also derives the model id, the prefix block hashes and the fingerprint of a request.
 */
final class FleetManifest {
  // Engines allocate KV memory in blocks of a few tokens.
  private static final int KV_BLOCK_TOKENS = 16;
  // Length of the prompt blocks whose hashes identify cached prefixes.
  private static final int PREFIX_BLOCK_TOKENS = 256;

  // Initial values for what the configuration does not state; routing corrects its speed estimates
  // from the observed speed of the engines.
  private static final int DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000;
  private static final Duration DEFAULT_FIRST_TOKEN_TARGET = Duration.ofMillis(900);
  private static final Duration DEFAULT_TOKEN_GAP_TARGET = Duration.ofMillis(70);

  // A narrow link of 20 Mbit/s to another region. The fraction of it that cross-region routing may
  // use is for all requests of the fleet together.
  private static final CrossRegionLink CROSS_REGION_LINK = new CrossRegionLink(2_500_000, 0.3);
  private static final Limits LIMITS = new Limits(0.1, 0.02);

  // A response after the latency target is of little use to its caller, so late requests get a
  // smaller share of the capacity than those that can still meet the target.
  private static final double LATE_WORKSPACE_WEIGHT = 0.5;

  private FleetManifest() {}

  /** Returns a manifest of all engines, or null if no configuration has been received yet. */
  static @Nullable Manifest of(FleetState fleet, GatewaySettings settings) {
    GatewayConfiguration c = fleet.configuration();
    if (c == null) {
      return null;
    }
    List<Model> models = new ArrayList<>();
    List<Upstream> upstreams = new ArrayList<>();
    for (GatewayService s : c.services()) {
      EngineSpec engine = s.engine();
      if (engine != null) {
        models.add(model(s, engine, c));
        for (Instance i : fleet.instances()) {
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
        CROSS_REGION_LINK,
        List.of(
            workspace(GenerationRequestHandler.IN_TIME, 1),
            workspace(GenerationRequestHandler.LATE, LATE_WORKSPACE_WEIGHT)),
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

  private static Model model(GatewayService s, EngineSpec engine, GatewayConfiguration c) {
    Duration firstTokenTarget = DEFAULT_FIRST_TOKEN_TARGET;
    for (GatewayRoute r : c.routes()) {
      if (r.services().stream().anyMatch(w -> w.service().equals(s.name()))) {
        firstTokenTarget = r.latencyTarget();
      }
    }
    return new Model(
        modelId(s.name()),
        firstTokenTarget,
        DEFAULT_TOKEN_GAP_TARGET,
        engine.kvCapacityTokens(),
        engine.kvBytesPerToken(),
        KV_BLOCK_TOKENS,
        !engine.maxReservationTtl().isZero());
  }

  private static Upstream upstream(Instance i, EngineSpec engine) {
    boolean prefill = i.stage() == EngineStage.PREFILL;
    int rate = DEFAULT_PREFILL_TOKENS_PER_SECOND;
    return new Upstream(
        i.upstreamId(),
        prefill ? UpstreamRole.PREFILL : UpstreamRole.DECODE_WITH_PROMPT,
        modelId(i.service()),
        i.zoneId(),
        URI.create("http://" + i.address().getHostString() + ":" + i.address().getPort()),
        i.slots(),
        // An engine of the decode pool processes prompts at half the speed of a prefill engine.
        prefill ? rate : rate / 2,
        engine.kvCapacityTokens() / KV_BLOCK_TOKENS,
        true,
        i.leaving(),
        i.softwareVersion());
  }

  /** Returns the identifier of a workspace for fair queueing. */
  static WorkspaceId workspaceId(String name) {
    return new WorkspaceId(Identifiers.of(name));
  }

  /** Returns the identifier of the model that a service serves. */
  static ModelId modelId(String service) {
    return new ModelId(Identifiers.of(service));
  }

  /**
   * Returns digests of the parts of a prompt that other requests to the service may share: all but
   * the last one.
   */
  static List<Fingerprint> sharedParts(String service, List<RequestMetadata.PromptPart> parts) {
    List<Fingerprint> result = new ArrayList<>();
    for (RequestMetadata.PromptPart p : parts.subList(0, Math.max(0, parts.size() - 1))) {
      result.add(
          new Fingerprint(
              Hashing.sha256()
                  .newHasher()
                  .putString(service + "\n", StandardCharsets.UTF_8)
                  .putLong(p.contentDigest())
                  .hash()
                  .toString()));
    }
    return result;
  }

  /** Returns the digest that identifies a stream by the attempt that brought its first event. */
  static Fingerprint streamId(String service, String requestId) {
    return new Fingerprint(
        Hashing.sha256()
            .newHasher()
            .putString("stream " + service + "\n", StandardCharsets.UTF_8)
            .putString(requestId, StandardCharsets.UTF_8)
            .hash()
            .toString());
  }

  /**
   * Returns hashes of the prompt's blocks; equal parts of prompts have equal hashes. Blocks beyond
   * the length of the prompt are left out, whatever length its parts are said to have.
   */
  static List<Long> prefixBlocks(RequestMetadata prompt) {
    int maxBlocks = prompt.promptTokens() / PREFIX_BLOCK_TOKENS;
    List<Long> result = new ArrayList<>();
    for (RequestMetadata.PromptPart p : prompt.promptParts()) {
      int blocks = Math.min(p.tokens() / PREFIX_BLOCK_TOKENS, maxBlocks - result.size());
      for (int i = 0; i < blocks; i++) {
        result.add(p.contentDigest() * 31 + i);
      }
    }
    return result;
  }
}
