package org.mustardlatch.daemon.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import okhttp3.Response;
import okhttp3.ResponseBody;

/** Parses JSON received from engines. */
final class EngineJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static final int MAX_RESPONSE_BYTES = 1 << 20;

  private EngineJson() {}

  /**
   * Parses the body of a response. Reads a limited part of it, as an engine in trouble may send
   * bytes without end.
   *
   * @throws IOException when the body cannot be read, is malformed or longer than 1 MiB
   */
  static JsonNode read(Response response) throws IOException {
    ResponseBody body = response.peekBody(MAX_RESPONSE_BYTES + 1L);
    if (body.contentLength() > MAX_RESPONSE_BYTES) {
      throw new IOException("response is longer than " + MAX_RESPONSE_BYTES + " bytes");
    }
    return parse(body.string());
  }

  /** Returns the node that stands for an absent response. */
  static JsonNode missingNode() {
    return MissingNode.getInstance();
  }

  /**
   * Parses a JSON value.
   *
   * @throws IOException when the text is malformed
   */
  static JsonNode parse(String text) throws IOException {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IOException("engine sent malformed JSON: " + e.getOriginalMessage(), e);
    }
  }
}
