package org.mustardlatch.gateway.config;

import java.time.Duration;

/**
 * What a caller may send.
 *
 * @param maxHeaderBytes most bytes of request line and headers
 * @param maxBodyBytes most bytes of a request body
 * @param headerTimeout longest time from the first byte of a request to the end of its headers
 * @param idleTimeout longest time between two requests on a connection
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
  /** Limits until a configuration states others. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
