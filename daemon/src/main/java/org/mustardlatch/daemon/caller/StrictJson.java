package org.mustardlatch.daemon.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;

/** Reads and writes JSON; rejects duplicate keys and trailing content after the value. */
final class StrictJson {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .build();

  private StrictJson() {}

  /**
   * Parses a JSON object.
   *
   * @throws MustardlatchException with {@link ErrorCode#MALFORMED_JSON} if the bytes are not valid
   *     JSON, or {@link ErrorCode#INVALID_ARGUMENT} if the value is not an object
   */
  static ObjectNode readObject(byte[] bytes) {
    JsonNode node;
    try {
      node = MAPPER.readTree(bytes);
    } catch (JsonProcessingException e) {
      throw new MustardlatchException(
          ErrorCode.MALFORMED_JSON,
          "body is not valid JSON: %s at line %d column %d"
              .formatted(
                  e.getOriginalMessage(),
                  e.getLocation() == null ? 1 : e.getLocation().getLineNr(),
                  e.getLocation() == null ? 1 : e.getLocation().getColumnNr()),
          e);
    } catch (IOException e) {
      throw new MustardlatchException(ErrorCode.MALFORMED_JSON, "body is not valid JSON: " + e, e);
    }
    if (node instanceof ObjectNode object) {
      return object;
    }
    throw new MustardlatchException(ErrorCode.INVALID_ARGUMENT, "body must be a JSON object");
  }

  /** Returns the value as UTF-8 JSON with sorted keys, so that equal values yield equal bytes. */
  static byte[] toCanonicalBytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(MAPPER.treeToValue(node, Object.class));
    } catch (JsonProcessingException e) {
      throw new MustardlatchException(ErrorCode.INTERNAL, "value can't be written as JSON", e);
    }
  }
}
