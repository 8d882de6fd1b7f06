package org.mustardlatch.core.ledger;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Builds the next content of a shard from its cached content. */
final class ShardEditor {
  private final Map<LedgerKey, LedgerRecord> fullRecords;
  private final Map<LedgerKey, CompactRecord> compactRecords;
  private int maxEncodedBytes;

  ShardEditor(LedgerShard base) {
    fullRecords = new LinkedHashMap<>(base.fullRecords());
    compactRecords = new LinkedHashMap<>(base.compactRecords());
    maxEncodedBytes = base.maxEncodedBytes();
  }

  @Nullable LedgerRecord fullRecord(LedgerKey key) {
    return fullRecords.get(key);
  }

  @Nullable CompactRecord compactRecord(LedgerKey key) {
    return compactRecords.get(key);
  }

  /** Returns an upper bound of the size in bytes after adding a full record with this response. */
  int maxEncodedBytesWith(@Nullable String response) {
    return maxEncodedBytes + LedgerShard.maxRecordBytes(response);
  }

  void put(LedgerRecord record) {
    LedgerRecord old = fullRecords.remove(record.key());
    if (old != null) {
      maxEncodedBytes -= LedgerShard.maxRecordBytes(old.response());
    }
    compactRecords.remove(record.key());
    fullRecords.put(record.key(), record);
    maxEncodedBytes += LedgerShard.maxRecordBytes(record.response());
  }

  /**
   * Compacts full records whose last change is longer ago than {@code fullRecordRetention}, and
   * removes compact records older than {@code retention}. A STARTED record is kept forever, because
   * its node may be paused for any time and then run the attempt. CANCELLED records are removed
   * instead of compacted.
   */
  void compact(long nowSeconds, Duration fullRecordRetention, Duration retention) {
    Iterator<LedgerRecord> recordIterator = fullRecords.values().iterator();
    while (recordIterator.hasNext()) {
      LedgerRecord r = recordIterator.next();
      if (r.state() != RecordState.STARTED
          && nowSeconds - r.changedSeconds() > fullRecordRetention.toSeconds()) {
        recordIterator.remove();
        if (r.state() != RecordState.CANCELLED) {
          compactRecords.put(r.key(), CompactRecord.of(r));
        }
      }
    }
    long oldestKeptSeconds = nowSeconds - retention.toSeconds();
    compactRecords.values().removeIf(r -> r.changedSeconds() < oldestKeptSeconds);
    maxEncodedBytes = build().maxEncodedBytes();
  }

  LedgerShard build() {
    return new LedgerShard(fullRecords, compactRecords);
  }
}
