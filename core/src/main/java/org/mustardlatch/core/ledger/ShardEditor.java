package org.mustardlatch.core.ledger;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Builds the next content of a shard. */
final class ShardEditor {
  private final Map<LedgerKey, LedgerRecord> recent;
  private final Map<LedgerKey, CompactRecord> older;
  private int bytes;

  ShardEditor(LedgerShard base) {
    recent = new LinkedHashMap<>(base.recent());
    older = new LinkedHashMap<>(base.older());
    bytes = base.encodedBytes();
  }

  @Nullable LedgerRecord recent(LedgerKey key) {
    return recent.get(key);
  }

  @Nullable CompactRecord older(LedgerKey key) {
    return older.get(key);
  }

  /** Returns an upper bound of the size that the content would have with one more record. */
  int bytesWith(@Nullable String answer) {
    return bytes + LedgerShard.recordBytes(answer);
  }

  void put(LedgerRecord record) {
    LedgerRecord old = recent.remove(record.key());
    if (old != null) {
      bytes -= LedgerShard.recordBytes(old.answer());
    }
    older.remove(record.key());
    recent.put(record.key(), record);
    bytes += LedgerShard.recordBytes(record.answer());
  }

  /**
   * Compacts full records that did not change for a while and removes compact records past the
   * retention. A STARTED record stays as it is for ever, because its starter may be paused for any
   * time and run it afterwards.
   */
  void compact(long nowSeconds, Duration keepFull, Duration retention) {
    Iterator<LedgerRecord> full = recent.values().iterator();
    while (full.hasNext()) {
      LedgerRecord r = full.next();
      if (r.state() != RecordState.STARTED
          && nowSeconds - r.changedSeconds() > keepFull.toSeconds()) {
        full.remove();
        if (r.state() != RecordState.CANCELLED) {
          older.put(r.key(), CompactRecord.of(r));
        }
      }
    }
    long oldest = nowSeconds - retention.toSeconds();
    older.values().removeIf(r -> r.changedSeconds() < oldest);
    bytes = build().encodedBytes();
  }

  LedgerShard build() {
    return new LedgerShard(recent, older);
  }
}
