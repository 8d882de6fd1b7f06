package org.mustardlatch.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import org.mustardlatch.daemon.routing.PartialOutput;
import org.mustardlatch.daemon.routing.GenerationInput;

/**
 * Makes the bodies of engine calls from the caller's body. A continued answer becomes part of the
 * prompt: appended to a text or a list of token ids, or as a last message that the engine goes on
 * with.
 */
final class EngineRequestBodies {
  private static final MediaType JSON = MediaType.get("application/json");

  private EngineRequestBodies() {}

  static RequestBody prefill(GenerationInput input, PartialOutput soFar) {
    ObjectNode body = commonBody(input, soFar);
    body.put("max_tokens", 1).put("stream", false);
    body.putObject("kv_transfer_params").put("do_remote_decode", true);
    return RequestBody.create(body.toString(), JSON);
  }

  /**
   * Makes the body of a decode call.
   *
   * @param transfer transfer parameters that the prefill engine returned
   * @param source base URL of the prefill engine
   */
  static RequestBody decode(
      GenerationInput input, PartialOutput soFar, JsonNode transfer, HttpUrl source) {
    ObjectNode body = commonBody(input, soFar);
    body.put("max_tokens", input.maxTokens() - soFar.tokens()).put("stream", true);
    body.putObject("stream_options").put("include_usage", true).put("continuous_usage_stats", true);
    if (input.promptIsTokenIds()) {
      body.put("return_token_ids", true);
    }
    ObjectNode parameters = transfer.deepCopy();
    parameters.put("do_remote_prefill", true);
    parameters.put("remote_host", source.host()).put("remote_port", source.port());
    body.set("kv_transfer_params", parameters);
    return RequestBody.create(body.toString(), JSON);
  }

  private static ObjectNode commonBody(GenerationInput input, PartialOutput soFar) {
    ObjectNode body = copyCallerBody(input);
    if (soFar.tokens() > 0) {
      if (input.chat()) {
        appendPartialMessage(body, soFar.text());
      } else if (input.promptIsTokenIds()) {
        ArrayNode ids = body.withArray("prompt").deepCopy();
        soFar.tokenIds().forEach(ids::add);
        body.set("prompt", ids);
      } else {
        body.put("prompt", body.path("prompt").asText() + soFar.text());
      }
    }
    return body;
  }

  /** Returns a shallow copy: values of the caller's body are shared and must not be changed. */
  private static ObjectNode copyCallerBody(GenerationInput input) {
    ObjectNode body = input.body().objectNode();
    body.setAll(input.body());
    body.remove("max_completion_tokens");
    body.remove("stream_options");
    return body;
  }

  private static void appendPartialMessage(ObjectNode body, String text) {
    ArrayNode messages = body.arrayNode();
    body.path("messages").forEach(messages::add);
    messages.addObject().put("role", "assistant").put("content", text);
    body.set("messages", messages);
    body.put("continue_final_message", true).put("add_generation_prompt", false);
  }
}
