package org.mustardlatch.core.ledger;

import java.time.Duration;

/**
 * Timeouts of a keyed request on its entry node, all greater than zero.
 *
 * @param forwardTimeout how long the owner of a shard may take to respond to a start or a finish
 *     before the entry node writes the record itself
 * @param cancelTimeout how long the response to the caller waits for the cancellation of the record
 * @param finishTimeout how long the response to the caller waits for the finish record; after that
 *     the caller gets the response although the record is not stored yet
 */
public record KeyedRequestTimeouts(
    Duration forwardTimeout, Duration cancelTimeout, Duration finishTimeout) {
  /**
   * The default timeouts. A busy owner writes about every 0.9 s, so a shorter forward timeout would
   * defeat group commit. The finish timeout is short, because returning the response of a request
   * that ran matters more to its caller than a stored record.
   */
  public static final KeyedRequestTimeouts DEFAULT =
      new KeyedRequestTimeouts(
          Duration.ofMillis(1_500), Duration.ofSeconds(1), Duration.ofSeconds(2));
}
