package org.mustardlatch.gateway.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** One version of the routes and services in force. Immutable. */
public final class GatewayConfiguration {
  private final long version;
  private final Map<String, List<GatewayRoute>> routesByHost = new HashMap<>();
  private final Map<String, GatewayService> services = new HashMap<>();
  private final CallerLimits limits;

  /**
   * Creates a configuration.
   *
   * @param version grows with every change
   * @throws IllegalArgumentException if a route leads to a service that is not listed
   */
  public GatewayConfiguration(
      long version, List<GatewayRoute> routes, List<GatewayService> services, CallerLimits limits) {
    this.version = version;
    this.limits = limits;
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

  /** Returns the version. */
  public long version() {
    return version;
  }

  /** Returns what callers may send. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns all routes. */
  public List<GatewayRoute> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }

  /** Returns the names of all services. */
  public Iterable<GatewayService> services() {
    return services.values();
  }

  /** Returns the service with this name, or null. */
  public @Nullable GatewayService findService(String name) {
    return services.get(name);
  }

  /**
   * Returns the route with the longest prefix of the path among those of the host, or null.
   *
   * @param host value of the Host header; a port is ignored
   * @param path path with or without a query
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
