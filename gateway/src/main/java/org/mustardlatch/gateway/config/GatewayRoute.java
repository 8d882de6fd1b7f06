package org.mustardlatch.gateway.config;

import java.time.Duration;
import java.util.List;

/**
 * A route from a host and path prefix to services.
 *
 * @param name name of the route
 * @param host value of the Host header, without a port
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeout longest time that a caller is kept waiting
 * @param latencyTarget time to the answer, or to the first event of a stream
 * @param eventGapTarget longest pause between events of a stream; zero when none is stated
 * @param services where requests go; at least one
 * @param maxAttempts most upstreams that one request may run on, at least 1
 * @param resumable whether another upstream may go on with a stream
 */
public record GatewayRoute(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    Duration timeout,
    Duration latencyTarget,
    Duration eventGapTarget,
    List<ServiceWeight> services,
    int maxAttempts,
    boolean resumable) {
  /** Copies the list and checks that a request can go somewhere. */
  public GatewayRoute {
    services = List.copyOf(services);
    if (services.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no service");
    }
    if (maxAttempts < 1) {
      throw new IllegalArgumentException("maxAttempts must be at least 1, got " + maxAttempts);
    }
  }

  /** Returns whether a request may run again after it may have run. */
  public boolean repeatable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable);
  }

  /**
   * Returns the service for a draw.
   *
   * @param draw evenly distributed from 0 (inclusive) to 1 (exclusive)
   */
  public String selectService(double draw) {
    double total = 0;
    for (ServiceWeight w : services) {
      total += w.weight();
    }
    double left = draw * total;
    for (ServiceWeight w : services) {
      left -= w.weight();
      if (left < 0) {
        return w.service();
      }
    }
    return services.getLast().service();
  }
}
