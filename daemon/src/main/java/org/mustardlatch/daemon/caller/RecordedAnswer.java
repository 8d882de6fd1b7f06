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

/** Puts the answer of a service into a record's text and back: content type and body. */
final class RecordedAnswer {
  private static final String CONTENT_TYPE = "Content-Type";

  private RecordedAnswer() {}

  /** Returns the text, or null when the answer is too long for a record or no UTF-8 text. */
  static @Nullable String encode(Responded answer) {
    if (answer.body().size() > LedgerLimits.MAX_RESPONSE_CHARS) {
      return null;
    }
    ObjectNode frame = JsonNodeFactory.instance.objectNode();
    frame.put("type", contentType(answer.headers()));
    try {
      frame.put(
          "body",
          StandardCharsets.UTF_8.newDecoder().decode(answer.body().asByteBuffer()).toString());
    } catch (CharacterCodingException e) {
      return null;
    }
    String text = frame.toString();
    return text.length() > LedgerLimits.MAX_RESPONSE_CHARS ? null : text;
  }

  /** Returns the answer that a text was made of. */
  static Responded decode(int status, String text) {
    ObjectNode frame = CallerJson.readObject(text.getBytes(StandardCharsets.UTF_8));
    return new Responded(
        status,
        Map.of(CONTENT_TYPE, List.of(frame.path("type").asText())),
        ByteString.encodeUtf8(frame.path("body").asText()));
  }

  private static String contentType(Map<String, List<String>> headers) {
    return headers.entrySet().stream()
        .filter(e -> e.getKey().equalsIgnoreCase(CONTENT_TYPE))
        .map(e -> e.getValue().get(0))
        .findFirst()
        .orElse("application/octet-stream");
  }
}
