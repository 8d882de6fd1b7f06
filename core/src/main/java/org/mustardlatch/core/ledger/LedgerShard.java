package org.mustardlatch.core.ledger;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Content of a shard object. Each key is in at most one of the two maps.
 *
 * @param fullRecords full records by key, in the order of their last insertion
 * @param compactRecords compact records by key, in the order of their compaction
 */
record LedgerShard(
    Map<LedgerKey, LedgerRecord> fullRecords, Map<LedgerKey, CompactRecord> compactRecords) {
  static final LedgerShard EMPTY = new LedgerShard(Map.of(), Map.of());

  /**
   * Upper bound of the size of a full record without its response, for host names of 63 characters.
   */
  private static final int FULL_RECORD_BYTES = 420;

  private static final int COMPACT_RECORD_BYTES = 40;
  private static final int ENVELOPE_BYTES = 300;

  LedgerShard {
    fullRecords = Collections.unmodifiableMap(new LinkedHashMap<>(fullRecords));
    compactRecords = Collections.unmodifiableMap(new LinkedHashMap<>(compactRecords));
  }

  /** Returns an upper bound of the size of the JSON form in bytes. */
  int maxEncodedBytes() {
    long bytes = ENVELOPE_BYTES + (long) COMPACT_RECORD_BYTES * compactRecords.size();
    for (LedgerRecord r : fullRecords.values()) {
      bytes += maxRecordBytes(r.response());
    }
    return (int) Math.min(Integer.MAX_VALUE, bytes);
  }

  /** Returns an upper bound of the size in bytes of a full record with this response. */
  static int maxRecordBytes(@Nullable String response) {
    return FULL_RECORD_BYTES + (response == null ? 0 : LedgerCodec.escapedLength(response));
  }
}
