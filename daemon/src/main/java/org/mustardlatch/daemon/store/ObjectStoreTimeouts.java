package org.mustardlatch.daemon.store;

import java.time.Duration;

/**
 * Timeouts of the object service client.
 *
 * @param connect time limit for opening a connection
 * @param call time limit for a whole read or update, including opening the connection
 * @param watchIdle time without any line after which a watch is reopened; a broken connection may
 *     stop delivering data without being closed
 * @param watchRetryDelay delay before a failed watch is reopened
 */
public record ObjectStoreTimeouts(
    Duration connect, Duration call, Duration watchIdle, Duration watchRetryDelay) {
  /**
   * Default timeouts. The object service normally responds within milliseconds, so a call without a
   * response after one second is treated as an outage.
   */
  public static final ObjectStoreTimeouts DEFAULT =
      new ObjectStoreTimeouts(
          Duration.ofMillis(500),
          Duration.ofSeconds(1),
          Duration.ofSeconds(30),
          Duration.ofSeconds(1));
}
