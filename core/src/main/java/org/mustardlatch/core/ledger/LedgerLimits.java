package org.mustardlatch.core.ledger;

import java.time.Duration;

/**
 * Limits of shard writers.
 *
 * @param retention how long the outcome of a finished request is kept
 * @param writesPerSecond write rate of the whole fleet to all shards together, greater than zero
 * @param maxShardBytes size of a shard object in bytes above which new records are refused; the
 *     rest up to the size limit of the object service is reserved for finish records
 * @param maxPendingChanges number of changes that may be pending in one shard writer
 */
public record LedgerLimits(
    Duration retention, double writesPerSecond, int maxShardBytes, int maxPendingChanges) {
  /** How long full records are kept with their responses after their last change. */
  public static final Duration FULL_RECORD_RETENTION = Duration.ofMinutes(15);

  /** Added to the retention because the wall clocks of hosts differ. */
  static final Duration CLOCK_SKEW_MARGIN = Duration.ofMinutes(15);

  /** Time after which a record that is still STARTED is reported as outcome unknown. */
  static final Duration MAX_IN_PROGRESS_TIME = Duration.ofMinutes(10);

  /**
   * Number of writes that a shard accepts without delay after an idle period: enough for two
   * requests that each store a start and a finish record.
   */
  static final int MAX_WRITE_BURST = 4;

  /**
   * Maximum length of a recorded response in UTF-16 units: 1 KB of body and its encoding overhead.
   */
  public static final int MAX_RESPONSE_CHARS = 1_400;

  /** Validates retention and write rate. */
  public LedgerLimits {
    if (retention.isNegative() || retention.isZero()) {
      throw new IllegalArgumentException("retention must be greater than zero, got " + retention);
    }
    if (!(writesPerSecond > 0)) {
      throw new IllegalArgumentException(
          "writesPerSecond must be greater than zero, got " + writesPerSecond);
    }
  }

  /** Returns the shard size in bytes up to which finish records are stored with their response. */
  int maxBytesWithResponses() {
    return maxShardBytes + maxShardBytes / 20;
  }

  /** Returns the limits for shard objects of 1 MB, of which 10% is reserved for finish records. */
  public static LedgerLimits of(Duration retention, double writesPerSecond) {
    return new LedgerLimits(retention, writesPerSecond, 900_000, 1_000);
  }
}
