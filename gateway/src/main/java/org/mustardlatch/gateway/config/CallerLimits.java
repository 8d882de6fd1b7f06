package org.mustardlatch.gateway.config;

import java.time.Duration;

/**
 * Size and time limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the request line and headers, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeout maximum time from the first byte of a request to the end of its headers; the
 *     gateway does not enforce it
 * @param idleTimeout maximum time between two requests on a connection
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
  /** Limits that apply until a configuration sets others. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
