package org.mustardlatch.core.ledger;

import java.time.Duration;

/**
 * Limits of shard writers.
 *
 * @param retention how long outcomes are remembered
 * @param writesPerSecond writes per second of the whole fleet over all shards, greater than zero
 * @param maxShardBytes size of a shard object from which new records are refused; finish records
 *     may use what is left up to the limit of the object service
 * @param maxPending requests that one shard writer holds at a time
 */
public record LedgerLimits(
    Duration retention, double writesPerSecond, int maxShardBytes, int maxPending) {
  /** How long full records with their answers are kept. */
  public static final Duration KEEP_FULL = Duration.ofMinutes(15);

  /** Added to the retention, because the wall clocks of hosts differ. */
  static final Duration RETENTION_MARGIN = Duration.ofMinutes(15);

  /** After this time a record that is still STARTED is reported as outcome unknown. */
  static final Duration STARTED_IN_PROGRESS = Duration.ofMinutes(10);

  /** Writes that a shard may make at once after a quiet time: two confirmations. */
  static final int WRITE_BURST = 4;

  /** Longest answer that a record holds, UTF-16 units: 1 KB of body and its frame. */
  public static final int MAX_ANSWER_CHARS = 1_400;

  /** Checks the ranges. */
  public LedgerLimits {
    if (retention.isNegative() || retention.isZero()) {
      throw new IllegalArgumentException("retention must be greater than zero, got " + retention);
    }
    if (!(writesPerSecond > 0)) {
      throw new IllegalArgumentException(
          "writesPerSecond must be greater than zero, got " + writesPerSecond);
    }
  }

  /** Returns the size up to which finish records are stored with their answer, bytes. */
  int maxBytesWithAnswers() {
    return maxShardBytes + maxShardBytes / 20;
  }

  /** Returns the limits for objects of 1 MB, with 10% kept free for finish records. */
  public static LedgerLimits of(Duration retention, double writesPerSecond) {
    return new LedgerLimits(retention, writesPerSecond, 900_000, 1_000);
  }
}
