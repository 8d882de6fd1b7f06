package org.mustardlatch.gateway.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes hop-by-hop headers, which apply to one connection only (RFC 9110, section 7.6.1). */
public final class HopByHopHeaders {
  private static final List<String> NAMES =
      List.of(
          "Connection",
          "Keep-Alive",
          "Proxy-Connection",
          "Proxy-Authenticate",
          "Proxy-Authorization",
          "TE",
          "Trailer",
          "Transfer-Encoding",
          "Upgrade",
          "Expect");

  private HopByHopHeaders() {}

  /** Removes the hop-by-hop headers, including those named by the Connection header. */
  public static void strip(HttpHeaders headers) {
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",", -1)) {
        String n = name.strip();
        if (!n.isEmpty() && !n.equalsIgnoreCase("close") && !n.equalsIgnoreCase("keep-alive")) {
          headers.remove(n);
        }
      }
    }
    NAMES.forEach(headers::remove);
  }
}
