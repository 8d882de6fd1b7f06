package org.mustardlatch.gateway.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** One version of the routes, services, workspaces and caller limits of a gateway. Immutable. */
public final class GatewayConfiguration {
  private final long version;
  private final Map<String, List<GatewayRoute>> routesByHost = new HashMap<>();
  private final Map<String, GatewayService> services = new HashMap<>();
  private final List<GatewayWorkspace> workspaces;
  private final Map<String, GatewayWorkspace> workspacesByKey = new HashMap<>();
  private final StreamRanks streamRanks;
  private final CallerLimits limits;

  /**
   * Creates a configuration.
   *
   * @param version increases with every change
   * @param workspaces empty if callers need no API key
   * @throws IllegalArgumentException if a route refers to a service that is not in {@code
   *     services}, or two workspaces have the same name or key
   */
  public GatewayConfiguration(
      long version,
      List<GatewayRoute> routes,
      List<GatewayService> services,
      List<GatewayWorkspace> workspaces,
      CallerLimits limits) {
    this.version = version;
    this.limits = limits;
    this.workspaces = List.copyOf(workspaces);
    this.streamRanks = StreamRanks.of(routes, workspaces);
    addWorkspaces();
    services.forEach(s -> this.services.put(s.name(), s));
    Map<String, List<GatewayRoute>> byHost = new HashMap<>();
    for (GatewayRoute route : routes) {
      for (ServiceWeight w : route.services()) {
        if (!this.services.containsKey(w.service())) {
          throw new IllegalArgumentException(
              "route " + route.name() + " leads to unknown service " + w.service());
        }
      }
      byHost.computeIfAbsent(route.host(), h -> new ArrayList<>()).add(route);
    }
    byHost.forEach((host, list) -> routesByHost.put(host, List.copyOf(list)));
  }

  private void addWorkspaces() {
    Set<String> names = new HashSet<>();
    for (GatewayWorkspace w : workspaces) {
      if (!names.add(w.name())) {
        throw new IllegalArgumentException("workspace " + w.name() + " occurs twice");
      }
      for (String key : w.apiKeys()) {
        if (workspacesByKey.put(key, w) != null) {
          throw new IllegalArgumentException("a key of workspace " + w.name() + " occurs twice");
        }
      }
    }
  }

  /** Returns the version, which increases with every change. */
  public long version() {
    return version;
  }

  /** Returns the limits on the requests and connections of callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns all routes. */
  public List<GatewayRoute> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }

  /** Returns all services. */
  public Iterable<GatewayService> services() {
    return services.values();
  }

  /** Returns all workspaces. */
  public List<GatewayWorkspace> workspaces() {
    return workspaces;
  }

  /** Returns whether callers need an API key, except on public routes. */
  public boolean hasWorkspaces() {
    return !workspaces.isEmpty();
  }

  /** Returns the workspace that has an API key, or null if none has. */
  public @Nullable GatewayWorkspace findWorkspace(String apiKey) {
    return workspacesByKey.get(apiKey);
  }

  /** Returns the ranks of the generations that this configuration allows. */
  public StreamRanks streamRanks() {
    return streamRanks;
  }

  /** Returns the service with the given name, or null if there is none. */
  public @Nullable GatewayService findService(String name) {
    return services.get(name);
  }

  /**
   * Returns the route of the host whose path prefix is the longest match, or null if none matches.
   *
   * @param host value of the Host header; a port is ignored
   * @param path request path, with or without a query
   */
  public @Nullable GatewayRoute findRoute(String host, String path) {
    GatewayRoute best = null;
    for (GatewayRoute r : routesByHost.getOrDefault(withoutPort(host), List.of())) {
      if (path.startsWith(r.pathPrefix())
          && (best == null || r.pathPrefix().length() > best.pathPrefix().length())) {
        best = r;
      }
    }
    return best;
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }
}
