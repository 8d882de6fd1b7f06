package org.mustardlatch.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import org.mustardlatch.daemon.routing.GenerationInput;
import org.mustardlatch.daemon.routing.PartialOutput;

/**
 * Builds the request bodies of engine calls from the caller's body. Output that an earlier attempt
 * already produced becomes part of the prompt: it is appended to a text or to a list of token ids,
 * or added as a final assistant message that the engine continues.
 */
final class EngineRequestBodies {
  private static final MediaType JSON = MediaType.get("application/json");

  private EngineRequestBodies() {}

  /** Builds the body of a prefill call, which generates one token. */
  static RequestBody prefill(GenerationInput input, PartialOutput partialOutput) {
    ObjectNode body = commonBody(input, partialOutput);
    body.put("max_tokens", 1).put("stream", false);
    body.putObject("kv_transfer_params").put("do_remote_decode", true);
    return RequestBody.create(body.toString(), JSON);
  }

  /**
   * Builds the body of a decode call.
   *
   * @param transfer KV transfer parameters that the prefill engine returned
   * @param source base URL of the prefill engine
   */
  static RequestBody decode(
      GenerationInput input, PartialOutput partialOutput, JsonNode transfer, HttpUrl source) {
    ObjectNode body = commonBody(input, partialOutput);
    body.put("max_tokens", input.maxTokens() - partialOutput.tokens()).put("stream", true);
    body.putObject("stream_options").put("include_usage", true).put("continuous_usage_stats", true);
    if (input.promptIsTokenIds()) {
      body.put("return_token_ids", true);
    }
    ObjectNode transferParameters = transfer.deepCopy();
    transferParameters.put("do_remote_prefill", true);
    transferParameters.put("remote_host", source.host()).put("remote_port", source.port());
    body.set("kv_transfer_params", transferParameters);
    return RequestBody.create(body.toString(), JSON);
  }

  private static ObjectNode commonBody(GenerationInput input, PartialOutput partialOutput) {
    ObjectNode body = copyCallerBody(input);
    if (partialOutput.tokens() > 0) {
      if (input.chat()) {
        appendPartialMessage(body, partialOutput.text());
      } else if (input.promptIsTokenIds()) {
        ArrayNode ids = body.withArray("prompt").deepCopy();
        partialOutput.tokenIds().forEach(ids::add);
        body.set("prompt", ids);
      } else {
        body.put("prompt", body.path("prompt").asText() + partialOutput.text());
      }
    }
    return body;
  }

  /**
   * Returns a shallow copy; its values are shared with the caller's body and must not be changed.
   */
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
