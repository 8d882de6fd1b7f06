package org.mustardlatch.core.manifest;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ParseResult;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.model.ZoneId;
import org.mustardlatch.core.toml.TomlFindings;
import org.mustardlatch.core.toml.TomlSection;

/**
 * Parses and validates manifests. All faults of a manifest are reported together, so that a
 * deployment pipeline shows them in one run.
 */
public final class ManifestParser {
  /**
   * Size limit of a manifest in the object service, bytes. {@link #parse} compares it with the
   * number of characters.
   */
  public static final int MAX_BYTES = 1_000_000;

  private static final long MAX_LINK_BYTES_PER_SECOND = 1_000_000_000_000L;
  private static final int MAX_TARGET_MILLIS = 3_600_000;

  private ManifestParser() {}

  /**
   * Parses a manifest.
   *
   * @param file file name that findings show
   * @param text TOML text
   * @return the manifest, or every fault with its location
   */
  public static ParseResult<Manifest> parse(String file, String text) {
    TomlFindings findings = new TomlFindings(file);
    if (text.length() > MAX_BYTES) {
      findings.add(
          "too_large",
          null,
          "the manifest has "
              + text.length()
              + " characters, at most "
              + MAX_BYTES
              + " are allowed",
          "split the deployment");
      return ParseResult.invalid(findings.all());
    }
    TomlSection root = TomlSection.parse(text, findings);
    if (!findings.all().isEmpty()) {
      return ParseResult.invalid(findings.all());
    }
    Manifest manifest = readManifest(root);
    return findings.all().isEmpty()
        ? ParseResult.valid(manifest)
        : ParseResult.invalid(findings.all());
  }

  private static Manifest readManifest(TomlSection root) {
    TomlSection manifestSection = root.section("manifest");
    String name = manifestSection.requiredString("name");
    Objective objective = manifestSection.optional("objective", ManifestParser::parseObjective);
    manifestSection.rejectUnknownKeys();
    DefinedNames definedNames = new DefinedNames();
    List<Region> regions = new ArrayList<>();
    root.sections("region").forEach(s -> addRegion(s, regions, definedNames));
    if (regions.isEmpty()) {
      root.addFinding("missing_key", "region", "the manifest has no region", "add a [[region]]");
    }
    CrossRegionLink link = readLink(root.section("link"));
    List<Workspace> workspaces = new ArrayList<>();
    root.sections("workspace").forEach(s -> addWorkspace(s, workspaces, definedNames));
    List<Model> models = new ArrayList<>();
    root.sections("model").forEach(s -> addModel(s, models, definedNames));
    List<Upstream> upstreams = new ArrayList<>();
    root.sections("upstream").forEach(s -> addUpstream(s, upstreams, definedNames));
    List<Route> routes = new ArrayList<>();
    root.sections("route").forEach(s -> addRoute(s, routes, definedNames));
    LedgerPolicy ledger = readLedger(root.section("ledger"));
    Limits limits = readLimits(root.section("limits"));
    root.rejectUnknownKeys();
    Manifest manifest =
        new Manifest(
            name,
            objective == null ? Objective.WASTE_AVERSE : objective,
            regions,
            link,
            workspaces,
            models,
            upstreams,
            routes,
            ledger,
            limits);
    checkModelsAreServed(root, manifest);
    return manifest;
  }

  private static Objective parseObjective(String text) {
    return switch (text) {
      case "waste-averse" -> Objective.WASTE_AVERSE;
      case "crest-averse" -> Objective.CREST_AVERSE;
      default ->
          throw new IllegalArgumentException(
              "\"" + text + "\" is neither waste-averse nor crest-averse");
    };
  }

  private static void addRegion(TomlSection s, List<Region> regions, DefinedNames definedNames) {
    RegionId id = s.required("name", RegionId::new);
    List<ZoneId> zones = s.convertedStrings("zones", ZoneId::new);
    if (zones.isEmpty()) {
      s.addFinding("missing_key", "zones", "the region has no availability zone", "add zones");
    }
    if (id != null) {
      definedNames.define(s, "region", "name", id.value());
      zones.forEach(z -> definedNames.define(s, "zone", "zones", z.value()));
      regions.add(new Region(id, zones));
    }
    s.rejectUnknownKeys();
  }

  private static CrossRegionLink readLink(TomlSection s) {
    CrossRegionLink link =
        new CrossRegionLink(
            s.integer("cross_region_bytes_per_second", 0, MAX_LINK_BYTES_PER_SECOND, 0),
            s.number("cross_region_budget_fraction", 0, 1, 0.5));
    s.rejectUnknownKeys();
    return link;
  }

  private static void addWorkspace(
      TomlSection s, List<Workspace> workspaces, DefinedNames definedNames) {
    WorkspaceId id = s.required("name", WorkspaceId::new);
    List<String> keyDigests = s.convertedStrings("api_keys_sha256", ManifestParser::requireDigest);
    double weight = s.number("weight", 0.001, 1000, 1);
    double requestsPerSecond = s.number("requests_per_second", 0, 1_000_000, 1_000_000);
    long maxConcurrent = s.integer("max_concurrent", 1, 1_000_000, 1_000_000);
    if (id != null) {
      definedNames.define(s, "workspace", "name", id.value());
      keyDigests.forEach(k -> definedNames.define(s, "API key", "api_keys_sha256", k));
      workspaces.add(new Workspace(id, keyDigests, weight, requestsPerSecond, (int) maxConcurrent));
    }
    s.rejectUnknownKeys();
  }

  private static String requireDigest(String text) {
    if (!text.matches("[0-9a-f]{64}")) {
      throw new IllegalArgumentException("must be SHA-256 digests of 64 hexadecimal digits");
    }
    return text;
  }

  private static void addModel(TomlSection s, List<Model> models, DefinedNames definedNames) {
    ModelId id = s.required("name", ModelId::new);
    Duration firstTokenTarget = readMillis(s, "first_token_target_ms", 900);
    Duration tokenGapTarget = readMillis(s, "token_gap_target_ms", 68);
    long maxPromptTokens = s.integer("max_prompt_tokens", 1, 10_000_000, 32_768);
    long kvBytesPerToken = s.integer("kv_bytes_per_token", 1, 1_000_000_000, 131_072);
    if (id != null) {
      definedNames.define(s, "model", "name", id.value());
      models.add(
          new Model(id, firstTokenTarget, tokenGapTarget, (int) maxPromptTokens, kvBytesPerToken));
    }
    s.rejectUnknownKeys();
  }

  private static Duration readMillis(TomlSection s, String key, long defaultMillis) {
    return Duration.ofMillis(s.integer(key, 1, MAX_TARGET_MILLIS, defaultMillis));
  }

  private static void addUpstream(
      TomlSection s, List<Upstream> upstreams, DefinedNames definedNames) {
    UpstreamId id = s.required("name", UpstreamId::new);
    boolean isEngine = Boolean.TRUE.equals(s.required("kind", ManifestParser::isEngineKind));
    UpstreamRole role =
        isEngine ? s.required("role", ManifestParser::parseRole) : UpstreamRole.APPLICATION;
    ModelId model = isEngine ? s.required("model", ModelId::new) : null;
    ZoneId zone = s.required("zone", ZoneId::new);
    URI url = s.required("url", ManifestParser::parseUrl);
    long slots = s.integer("slots", 1, 100_000, isEngine ? 20 : 100);
    boolean doesPrefill = role != null && role.prefills();
    long prefillTokensPerSecond =
        doesPrefill ? s.requiredInteger("prefill_tokens_per_second", 1, 100_000_000) : 0;
    long memoryPieces = isEngine ? s.integer("memory_pieces", 1, 1_000_000, 400) : 0;
    boolean checksFencing = s.bool("checks_fencing", false);
    boolean leaving = s.bool("leaving", false);
    if (id != null) {
      definedNames.define(s, "upstream", "name", id.value());
    }
    definedNames.checkReference(s, "zone", "zone", zone == null ? null : zone.value());
    definedNames.checkReference(s, "model", "model", model == null ? null : model.value());
    if (id != null && role != null && zone != null && url != null) {
      upstreams.add(
          new Upstream(
              id,
              role,
              model,
              zone,
              url,
              (int) slots,
              (int) prefillTokensPerSecond,
              (int) memoryPieces,
              checksFencing,
              leaving));
    }
    s.rejectUnknownKeys();
  }

  private static boolean isEngineKind(String kind) {
    return switch (kind) {
      case "engine" -> true;
      case "application" -> false;
      default ->
          throw new IllegalArgumentException("\"" + kind + "\" is neither engine nor application");
    };
  }

  private static UpstreamRole parseRole(String role) {
    return switch (role) {
      case "prefill" -> UpstreamRole.PREFILL;
      case "decode" -> UpstreamRole.DECODE;
      case "mixed" -> UpstreamRole.MIXED;
      default ->
          throw new IllegalArgumentException("\"" + role + "\" is not prefill, decode or mixed");
    };
  }

  private static URI parseUrl(String text) {
    URI uri = URI.create(text);
    String scheme = String.valueOf(uri.getScheme());
    if (uri.getHost() == null || !(scheme.equals("http") || scheme.equals("https"))) {
      throw new IllegalArgumentException("\"" + text + "\" is not an http or https URL");
    }
    return uri;
  }

  private static void addRoute(TomlSection s, List<Route> routes, DefinedNames definedNames) {
    String path = s.required("path", ManifestParser::requirePath);
    Set<String> methods = new TreeSet<>();
    s.strings("methods").forEach(m -> methods.add(m.toUpperCase(Locale.ROOT)));
    List<UpstreamId> upstreams = s.convertedStrings("upstreams", UpstreamId::new);
    upstreams.forEach(u -> definedNames.checkReference(s, "upstream", "upstreams", u.value()));
    boolean idempotent = s.bool("idempotent", false);
    @Nullable String outcomePath = s.optional("outcome_path", ManifestParser::requirePath);
    if (methods.isEmpty()) {
      s.addFinding("missing_key", "methods", "the route has no methods", "add methods");
    }
    if (upstreams.isEmpty()) {
      s.addFinding("missing_key", "upstreams", "the route has no upstreams", "add upstreams");
    }
    if (path != null) {
      methods.forEach(m -> definedNames.define(s, "route", "path", m + " " + path));
      routes.add(new Route(path, methods, upstreams, idempotent, outcomePath));
    }
    s.rejectUnknownKeys();
  }

  private static String requirePath(String text) {
    if (!text.startsWith("/") || text.startsWith("/v1/")) {
      throw new IllegalArgumentException(
          "\"" + text + "\" must start with a slash and must not lie under /v1/");
    }
    return text;
  }

  private static LedgerPolicy readLedger(TomlSection s) {
    LedgerPolicy policy =
        new LedgerPolicy(
            Duration.ofHours(s.integer("retention_hours", 1, 168, 24)),
            (int) s.integer("writes_per_second", 1, 100_000, 300));
    s.rejectUnknownKeys();
    return policy;
  }

  private static Limits readLimits(TomlSection s) {
    Limits limits =
        new Limits(
            s.number("retry_budget_fraction", 0, 1, 0.1),
            s.number("hedge_budget_fraction", 0, 1, 0.02));
    s.rejectUnknownKeys();
    return limits;
  }

  /**
   * Adds a finding for every model without both a prefill and a decode engine in one region,
   * because no request for such a model could be served. Leaving (draining) engines don't count.
   */
  private static void checkModelsAreServed(TomlSection root, Manifest manifest) {
    for (Model model : manifest.models()) {
      boolean served =
          manifest.regions().stream()
              .anyMatch(
                  r ->
                      hasUpstream(manifest, model, r, UpstreamRole::prefills)
                          && hasUpstream(manifest, model, r, UpstreamRole::decodes));
      if (!served) {
        root.addFinding(
            "model_without_engines",
            "model",
            "model \"" + model.id() + "\" has no region with both a prefill and a decode engine",
            "add engines for it or remove the model");
      }
    }
  }

  private static boolean hasUpstream(
      Manifest manifest, Model model, Region region, Predicate<UpstreamRole> hasRole) {
    return manifest.upstreams().stream()
        .anyMatch(
            u ->
                model.id().equals(u.model())
                    && hasRole.test(u.role())
                    && !u.leaving()
                    && region.zones().contains(u.zone()));
  }
}
