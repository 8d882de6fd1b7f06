package org.mustardlatch.core.ledger;

import java.time.Duration;

/**
 * Waiting times of the entry side, all greater than zero.
 *
 * @param forwardWait how long the owner of a shard may take before the entry node writes directly
 * @param cancelWait how long a caller whose deadline passed waits for the cancellation of its
 *     record
 * @param finishWait how long an answer waits for its record; after that the caller gets it although
 *     the record is not stored yet
 */
public record KeyedPolicy(Duration forwardWait, Duration cancelWait, Duration finishWait) {
  /**
   * An owner writes about every 0.9 s when it is busy, so shorter waiting would defeat group
   * commit; an answer that ran is worth more to its caller than a record.
   */
  public static final KeyedPolicy DEFAULT =
      new KeyedPolicy(Duration.ofMillis(1_500), Duration.ofSeconds(1), Duration.ofSeconds(2));
}
