package org.mustardlatch.core.ledger;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Content of a shard object. A key is in at most one of the maps.
 *
 * @param recent full records by key, in the order of their last insertion
 * @param older compact records by key, in the order of their compaction
 */
record LedgerShard(Map<LedgerKey, LedgerRecord> recent, Map<LedgerKey, CompactRecord> older) {
  static final LedgerShard EMPTY = new LedgerShard(Map.of(), Map.of());

  /** Bytes of a full record without its answer, an upper bound for hosts of 63 characters. */
  private static final int RECENT_BYTES = 420;

  private static final int OLDER_BYTES = 40;
  private static final int FRAME_BYTES = 300;

  LedgerShard {
    recent = Collections.unmodifiableMap(new LinkedHashMap<>(recent));
    older = Collections.unmodifiableMap(new LinkedHashMap<>(older));
  }

  /** Returns an upper bound of the size in JSON, bytes. */
  int encodedBytes() {
    long bytes = FRAME_BYTES + (long) OLDER_BYTES * older.size();
    for (LedgerRecord r : recent.values()) {
      bytes += recordBytes(r.answer());
    }
    return (int) Math.min(Integer.MAX_VALUE, bytes);
  }

  /** Returns an upper bound of the size of a full record with this answer, bytes. */
  static int recordBytes(@Nullable String answer) {
    return RECENT_BYTES + (answer == null ? 0 : LedgerCodec.quotedBytes(answer));
  }
}
