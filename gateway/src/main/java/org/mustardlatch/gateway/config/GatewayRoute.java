package org.mustardlatch.gateway.config;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

/**
 * A route that maps a host and path prefix to weighted services.
 *
 * @param name name of the route
 * @param host value of the Host header, without a port
 * @param pathPrefix begins and ends with a slash
 * @param kind whether requests are idempotent, and whether responses are streams
 * @param timeout maximum time that a caller waits for a response
 * @param latencyTarget target time to the response, or to the first event of a stream
 * @param eventGapTarget target for the longest gap between events of a stream; zero if none is
 *     configured
 * @param services services that receive the requests; at least one
 * @param maxAttempts maximum number of upstreams that one request may run on, at least 1
 * @param resumable whether another upstream may resume an interrupted stream
 * @param rank urgency of its requests, at least 0; 0 is the most urgent
 * @param isPublic whether its requests need no API key
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
    boolean resumable,
    int rank,
    boolean isPublic) {
  /** Number of bits of a fraction that a double holds exactly. */
  private static final int DOUBLE_BITS = 53;

  /** Rank of a route or workspace that states none. */
  public static final int DEFAULT_RANK = 5;

  /** Copies the list and checks that there is at least one service and one attempt. */
  public GatewayRoute {
    services = List.copyOf(services);
    if (services.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no service");
    }
    if (maxAttempts < 1) {
      throw new IllegalArgumentException("maxAttempts must be at least 1, got " + maxAttempts);
    }
    if (rank < 0) {
      throw new IllegalArgumentException("rank of route " + name + " is " + rank);
    }
  }

  /** Returns whether a request may be repeated after a previous attempt may have executed. */
  public boolean repeatable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable);
  }

  /** Returns a number from 0 to less than 1 that is evenly spread over ids, for a fixed choice. */
  public static double drawOf(String id) {
    long bits = Hashing.farmHashFingerprint64().hashString(id, StandardCharsets.UTF_8).asLong();
    return (bits >>> (Long.SIZE - DOUBLE_BITS)) * 0x1p-53;
  }

  /**
   * Returns the service that a random number selects in proportion to the weights.
   *
   * @param draw random number, uniformly distributed from 0 (inclusive) to 1 (exclusive)
   */
  public String selectService(double draw) {
    double total = 0;
    for (ServiceWeight w : services) {
      total += w.weight();
    }
    double remaining = draw * total;
    for (ServiceWeight w : services) {
      remaining -= w.weight();
      if (remaining < 0) {
        return w.service();
      }
    }
    return services.getLast().service();
  }
}
