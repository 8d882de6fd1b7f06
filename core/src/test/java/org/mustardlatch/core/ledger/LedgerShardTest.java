package org.mustardlatch.core.ledger;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.model.WorkspaceId;

/**
 * Guards against records that are lost, exceed the size limit of the shard object or expire too
 * early.
 */
class LedgerShardTest {
  private static final Duration RETENTION = Duration.ofHours(24);
  private static final long NOW_SECONDS = 1_800_000_000L;

  @Test
  void shardIsUnchangedByEncodingAndDecoding() {
    LedgerShard shard =
        shard(record("a", RecordState.STARTED, NOW_SECONDS), record("b", NOW_SECONDS));
    ShardEditor editor = new ShardEditor(shard);
    editor.compact(NOW_SECONDS + 3_600, LedgerLimits.FULL_RECORD_RETENTION, RETENTION);
    LedgerShard compacted = editor.build();
    assertThat(compacted.fullRecords()).hasSize(1);
    assertThat(compacted.compactRecords()).hasSize(1);
    assertThat(LedgerCodec.decode(LedgerCodec.encode(compacted))).isEqualTo(compacted);
    assertThat(LedgerCodec.decode(LedgerCodec.encode(shard))).isEqualTo(shard);
  }

  @Test
  void compactRecordTakesFortyBytesInTheObject() {
    String text = CompactRecord.of(record("a", NOW_SECONDS)).encode();
    assertThat("\"" + text + "\",").hasLength(40);
  }

  @Test
  void maxEncodedBytesIsAnUpperBound() {
    LedgerRecord longest =
        new LedgerRecord(
            key("a"),
            "d".repeat(64),
            RecordState.CANCELLED,
            "f".repeat(32),
            "h".repeat(63),
            Long.MAX_VALUE,
            NOW_SECONDS,
            NOW_SECONDS,
            599,
            "\"\u0001\u00e9".repeat(400));
    LedgerShard shard = shard(longest, record("b", NOW_SECONDS));
    int encodedBytes = LedgerCodec.encode(shard).toString().getBytes(StandardCharsets.UTF_8).length;
    assertThat(shard.maxEncodedBytes()).isAtLeast(encodedBytes);
  }

  @Test
  void finishedRecordsExpireAfterTheRetentionAndStartedRecordsNever() {
    ShardEditor editor =
        new ShardEditor(
            shard(
                record("a", RecordState.STARTED, NOW_SECONDS),
                record("b", NOW_SECONDS),
                record("c", RecordState.CANCELLED, NOW_SECONDS)));
    editor.compact(
        NOW_SECONDS + RETENTION.toSeconds(), LedgerLimits.FULL_RECORD_RETENTION, RETENTION);
    assertThat(editor.build().compactRecords().keySet()).containsExactly(key("b"));
    editor.compact(
        NOW_SECONDS + RETENTION.toSeconds() + 1, LedgerLimits.FULL_RECORD_RETENTION, RETENTION);
    assertThat(editor.build().compactRecords()).isEmpty();
    assertThat(editor.build().fullRecords().keySet()).containsExactly(key("a"));
  }

  @Test
  void otherFormatVersionIsRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> LedgerCodec.decode(JsonNodeFactory.instance.objectNode().put("format", 2)));
  }

  @Test
  void creationTimeOfUuidVersionSevenIsRead() {
    String key = "01890a5d-ac96-774b-bcce-b302099a8057";
    assertThat(KeyAge.createdSeconds(key)).hasValue(0x01890a5dac96L / 1000);
    assertThat(KeyAge.createdSeconds("01890a5d-ac96-474b-bcce-b302099a8057")).isEmpty();
    long created = 0x01890a5dac96L / 1000;
    assertThat(KeyAge.isExpired(key, RETENTION, created + RETENTION.toSeconds())).isFalse();
    assertThat(KeyAge.isExpired(key, RETENTION, created + RETENTION.toSeconds() + 1)).isTrue();
    assertThat(KeyAge.isExpired("order-17", RETENTION, Long.MAX_VALUE)).isFalse();
  }

  private static LedgerShard shard(LedgerRecord... records) {
    ShardEditor editor = new ShardEditor(LedgerShard.EMPTY);
    List.of(records).forEach(editor::put);
    return editor.build();
  }

  private static LedgerRecord record(String name, long changed) {
    return record(name, RecordState.FINISHED, changed);
  }

  private static LedgerRecord record(String name, RecordState state, long changed) {
    return new LedgerRecord(
        key(name), "d", state, "0".repeat(32), "h", 1, changed, changed, 200, "x");
  }

  private static LedgerKey key(String name) {
    return LedgerKey.of(new WorkspaceId("w"), name);
  }
}
