package org.mustardlatch.daemon.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;

/** Parses JSON received from engines. */
final class EngineJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private EngineJson() {}

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
