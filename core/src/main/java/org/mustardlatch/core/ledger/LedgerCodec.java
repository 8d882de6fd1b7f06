package org.mustardlatch.core.ledger;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Encodes and decodes the JSON form of a shard, which docs/design.md 4.4 documents. Its field
 * {@code recent} contains the full records, {@code older} the compact records, and {@code answer}
 * the response of a full record.
 */
final class LedgerCodec {
  private static final int FORMAT_VERSION = 1;

  private LedgerCodec() {}

  static ObjectNode encode(LedgerShard shard) {
    ObjectNode node = JsonNodeFactory.instance.objectNode().put("format", FORMAT_VERSION);
    ArrayNode recent = node.putArray("recent");
    for (LedgerRecord r : shard.fullRecords().values()) {
      ObjectNode o = recent.addObject();
      o.put("key", r.key().digest())
          .put("request", r.requestDigest())
          .put("state", r.state().name());
      o.put("nonce", r.nonce()).put("host", r.host()).put("incarnation", r.incarnation());
      o.put("started", r.startedSeconds()).put("changed", r.changedSeconds());
      o.put("status", r.status());
      if (r.response() != null) {
        o.put("answer", r.response());
      }
    }
    ArrayNode older = node.putArray("older");
    shard.compactRecords().values().forEach(r -> older.add(r.encode()));
    return node;
  }

  /**
   * Decodes a shard.
   *
   * @throws IllegalArgumentException if the content has another format version; such content must
   *     not be overwritten
   */
  static LedgerShard decode(JsonNode node) {
    if (node.path("format").asInt() != FORMAT_VERSION) {
      throw new IllegalArgumentException(
          "ledger shard format must be " + FORMAT_VERSION + ", got " + node.path("format"));
    }
    Map<LedgerKey, LedgerRecord> fullRecords = new LinkedHashMap<>();
    for (JsonNode o : node.path("recent")) {
      LedgerRecord r = decodeRecord(o);
      fullRecords.put(r.key(), r);
    }
    Map<LedgerKey, CompactRecord> compactRecords = new LinkedHashMap<>();
    for (JsonNode o : node.path("older")) {
      CompactRecord r = CompactRecord.decode(o.asText());
      compactRecords.put(r.key(), r);
    }
    return new LedgerShard(fullRecords, compactRecords);
  }

  /** Returns the length of the text in UTF-8 bytes when it is escaped for JSON. */
  static int escapedLength(String text) {
    return JsonStringEncoder.getInstance().quoteAsUTF8(text).length;
  }

  private static LedgerRecord decodeRecord(JsonNode o) {
    return new LedgerRecord(
        new LedgerKey(o.path("key").asText()),
        o.path("request").asText(),
        RecordState.valueOf(o.path("state").asText()),
        o.path("nonce").asText(),
        o.path("host").asText(),
        o.path("incarnation").asLong(),
        o.path("started").asLong(),
        o.path("changed").asLong(),
        o.path("status").asInt(),
        textOrNull(o.path("answer")));
  }

  private static @Nullable String textOrNull(JsonNode node) {
    return node.isTextual() ? node.asText() : null;
  }
}
