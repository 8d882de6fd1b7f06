package org.mustardlatch.daemon.upstream;

import java.util.Locale;
import java.util.Set;

/** Decides which HTTP headers the router forwards. */
public final class EndToEndHeaders {
  /** Headers of a single connection, and those that are set anew for each connection. */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "host");

  /**
   * Request headers that are meant for the router, such as the API key in {@code Authorization};
   * the HTTP client negotiates compression by itself.
   */
  private static final Set<String> ROUTER_ONLY =
      Set.of("authorization", "accept-encoding", "x-request-id", "expect");

  private EndToEndHeaders() {}

  /** Returns whether a request header of a caller is forwarded to the service. */
  public static boolean passesToService(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    return !HOP_BY_HOP.contains(lower) && !ROUTER_ONLY.contains(lower);
  }

  /** Returns whether a response header of a service is forwarded to the caller. */
  public static boolean passesToCaller(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    return !HOP_BY_HOP.contains(lower) && !lower.equals("x-request-id");
  }
}
