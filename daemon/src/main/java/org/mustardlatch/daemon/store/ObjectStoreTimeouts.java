package org.mustardlatch.daemon.store;

import java.time.Duration;

/**
 * Time limits of the object service client.
 *
 * @param connect for a connection to be made
 * @param call for a whole read or update, including the connection
 * @param watchIdle after which a watch without any line is opened again; connections can go
 *     silent without being closed
 * @param watchRetryDelay time before a failed watch is opened again
 */
public record ObjectStoreTimeouts(
    Duration connect, Duration call, Duration watchIdle, Duration watchRetryDelay) {
  /** The object service answers in milliseconds, so a second without an answer is an outage. */
  public static final ObjectStoreTimeouts DEFAULT =
      new ObjectStoreTimeouts(
          Duration.ofMillis(500),
          Duration.ofSeconds(1),
          Duration.ofSeconds(30),
          Duration.ofSeconds(1));
}
