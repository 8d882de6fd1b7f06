package org.mustardlatch.daemon.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import okio.ByteString;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.ledger.LedgerLimits;
import org.mustardlatch.daemon.upstream.ApplicationResult.Responded;

/**
 * Encodes the response of a service as text for a ledger record, and decodes it again. Content type
 * and body are kept; other headers are not.
 */
final class RecordedResponseCodec {
  private static final String CONTENT_TYPE = "Content-Type";

  private RecordedResponseCodec() {}

  /** Returns the encoded response, or null if it is too long for a record or not UTF-8 text. */
  static @Nullable String encode(Responded response) {
    if (response.body().size() > LedgerLimits.MAX_RESPONSE_CHARS) {
      return null;
    }
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("type", contentType(response.headers()));
    try {
      json.put(
          "body",
          StandardCharsets.UTF_8.newDecoder().decode(response.body().asByteBuffer()).toString());
    } catch (CharacterCodingException e) {
      return null;
    }
    String text = json.toString();
    return text.length() > LedgerLimits.MAX_RESPONSE_CHARS ? null : text;
  }

  /** Returns the response that was encoded as the given text, with the given status. */
  static Responded decode(int status, String text) {
    ObjectNode json = StrictJson.readObject(text.getBytes(StandardCharsets.UTF_8));
    return new Responded(
        status,
        Map.of(CONTENT_TYPE, List.of(json.path("type").asText())),
        ByteString.encodeUtf8(json.path("body").asText()));
  }

  private static String contentType(Map<String, List<String>> headers) {
    return headers.entrySet().stream()
        .filter(e -> e.getKey().equalsIgnoreCase(CONTENT_TYPE))
        .map(e -> e.getValue().get(0))
        .findFirst()
        .orElse("application/octet-stream");
  }
}
