package org.mustardlatch.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.daemon.routing.GenerationInput;

/**
 * Parses and validates the body of a generation request. Sampling parameters that the router does
 * not interpret are forwarded to the engine unchanged, because OpenAI clients send many.
 */
final class GenerationInputParser {
  private static final int ESTIMATED_BYTES_PER_TOKEN = 4;
  private static final int DEFAULT_MAX_TOKENS = 16;
  private static final int DEFAULT_MAX_CHAT_TOKENS = 512;
  private static final int MAX_TOKENS_LIMIT = 131_072;

  private GenerationInputParser() {}

  /**
   * Parses a body.
   *
   * @param chat whether the body is a chat completion request
   * @throws MustardlatchException with a code of HTTP status 400 or 404; the message names the
   *     invalid field
   */
  static GenerationInput parse(byte[] bytes, boolean chat, Manifest manifest) {
    ObjectNode body = StrictJson.readObject(bytes);
    rejectUnsupported(body);
    Model model = findModel(body, manifest);
    JsonNode prompt = chat ? requireMessages(body) : requirePrompt(body);
    boolean promptIsTokenIds = prompt.isArray() && !chat;
    int promptTokens = promptIsTokenIds ? prompt.size() : estimateTokens(prompt);
    if (promptTokens > model.maxPromptTokens()) {
      throw new MustardlatchException(
          ErrorCode.PROMPT_TOO_LONG,
          "prompt has about %d tokens, model \"%s\" takes %d"
              .formatted(promptTokens, model.id(), model.maxPromptTokens()));
    }
    return new GenerationInput(
        chat,
        model.id(),
        body,
        readBoolean(body, "stream"),
        body.path("stream_options").path("include_usage").asBoolean(),
        promptIsTokenIds,
        Math.max(1, promptTokens),
        readMaxTokens(body, chat));
  }

  private static void rejectUnsupported(ObjectNode body) {
    // A caller that can refer to a KV cache could read the prompt of another caller.
    if (body.has("kv_transfer_params")) {
      throw new MustardlatchException(
          ErrorCode.UNKNOWN_FIELD, "field \"kv_transfer_params\" is not for callers");
    }
    requireOne(body, "n");
    requireOne(body, "best_of");
    JsonNode echo = body.path("echo");
    if (echo.asBoolean()) {
      throw invalidArgument("field \"echo\" is not supported");
    }
  }

  private static void requireOne(ObjectNode body, String field) {
    JsonNode value = body.path(field);
    if (!value.isMissingNode() && !value.isNull() && value.asInt() != 1) {
      throw invalidArgument("field \"" + field + "\" must be 1: a request has one answer");
    }
  }

  private static Model findModel(ObjectNode body, Manifest manifest) {
    JsonNode name = body.path("model");
    if (!name.isTextual()) {
      throw invalidArgument("field \"model\" must be a text");
    }
    return manifest.models().stream()
        .filter(m -> m.id().value().equals(name.asText()))
        .findFirst()
        .orElseThrow(
            () ->
                new MustardlatchException(
                    ErrorCode.UNKNOWN_MODEL, "model \"" + name.asText() + "\" does not exist"));
  }

  private static JsonNode requirePrompt(ObjectNode body) {
    JsonNode prompt = body.path("prompt");
    if (prompt.isTextual()) {
      return prompt;
    }
    if (!prompt.isArray() || prompt.isEmpty()) {
      throw invalidArgument("field \"prompt\" must be a text or a list of token ids");
    }
    for (JsonNode id : prompt) {
      if (!id.isIntegralNumber()) {
        throw invalidArgument(
            "field \"prompt\" must hold one prompt: a text or a list of token ids");
      }
    }
    return prompt;
  }

  private static JsonNode requireMessages(ObjectNode body) {
    JsonNode messages = body.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw invalidArgument("field \"messages\" must be a list with at least one message");
    }
    for (int i = 0; i < messages.size(); i++) {
      JsonNode message = messages.get(i);
      if (!message.path("role").isTextual() || !message.has("content")) {
        throw invalidArgument("message " + i + " must have \"role\" and \"content\"");
      }
    }
    return messages;
  }

  /** Returns the estimated number of tokens of a text prompt or of the contents of messages. */
  private static int estimateTokens(JsonNode prompt) {
    if (prompt.isTextual()) {
      return utf8Length(prompt.asText()) / ESTIMATED_BYTES_PER_TOKEN;
    }
    int total = 0;
    for (JsonNode message : prompt) {
      JsonNode content = message.path("content");
      total += utf8Length(content.isTextual() ? content.asText() : content.toString());
    }
    return total / ESTIMATED_BYTES_PER_TOKEN;
  }

  private static int utf8Length(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }

  private static int readMaxTokens(ObjectNode body, boolean chat) {
    String field =
        chat && body.hasNonNull("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    if (!body.hasNonNull(field)) {
      return chat ? DEFAULT_MAX_CHAT_TOKENS : DEFAULT_MAX_TOKENS;
    }
    JsonNode value = body.path(field);
    if (!value.isIntegralNumber() || value.asLong() < 1 || value.asLong() > MAX_TOKENS_LIMIT) {
      throw invalidArgument(
          "field \"%s\" must be a number from 1 to %d".formatted(field, MAX_TOKENS_LIMIT));
    }
    return value.asInt();
  }

  private static boolean readBoolean(ObjectNode body, String field) {
    JsonNode value = body.path(field);
    if (!value.isMissingNode() && !value.isNull() && !value.isBoolean()) {
      throw invalidArgument("field \"" + field + "\" must be true or false");
    }
    return value.asBoolean();
  }

  private static MustardlatchException invalidArgument(String message) {
    return new MustardlatchException(ErrorCode.INVALID_ARGUMENT, message);
  }
}
