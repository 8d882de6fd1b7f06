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
 * Checks the body of a generation request. Sampling parameters that the router does not know go to
 * the engine unchanged, because OpenAI clients send many.
 */
final class GenerationReader {
  private static final int BYTES_PER_TOKEN = 4;
  private static final int DEFAULT_MAX_TOKENS = 16;
  private static final int DEFAULT_MAX_CHAT_TOKENS = 512;
  private static final int MAX_MAX_TOKENS = 131_072;

  private GenerationReader() {}

  /**
   * Reads a body.
   *
   * @throws MustardlatchException with a code of status 400 or 404 that names the wrong field
   */
  static GenerationInput read(byte[] bytes, boolean chat, Manifest manifest) {
    ObjectNode body = CallerJson.readObject(bytes);
    rejectUnsupported(body);
    Model model = model(body, manifest);
    JsonNode prompt = chat ? messages(body) : prompt(body);
    boolean tokenIds = prompt.isArray() && !chat;
    int promptTokens = tokenIds ? prompt.size() : textTokens(prompt);
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
        flag(body, "stream"),
        body.path("stream_options").path("include_usage").asBoolean(),
        tokenIds,
        Math.max(1, promptTokens),
        maxTokens(body, chat));
  }

  private static void rejectUnsupported(ObjectNode body) {
    // A caller that could name a KV cache could read another caller's prompt.
    if (body.has("kv_transfer_params")) {
      throw new MustardlatchException(
          ErrorCode.UNKNOWN_FIELD, "field \"kv_transfer_params\" is not for callers");
    }
    rejectMoreThanOne(body, "n");
    rejectMoreThanOne(body, "best_of");
    JsonNode echo = body.path("echo");
    if (echo.asBoolean()) {
      throw invalid("field \"echo\" is not supported");
    }
  }

  private static void rejectMoreThanOne(ObjectNode body, String field) {
    JsonNode value = body.path(field);
    if (!value.isMissingNode() && !value.isNull() && value.asInt() != 1) {
      throw invalid("field \"" + field + "\" must be 1: a request has one answer");
    }
  }

  private static Model model(ObjectNode body, Manifest manifest) {
    JsonNode name = body.path("model");
    if (!name.isTextual()) {
      throw invalid("field \"model\" must be a text");
    }
    return manifest.models().stream()
        .filter(m -> m.id().value().equals(name.asText()))
        .findFirst()
        .orElseThrow(
            () ->
                new MustardlatchException(
                    ErrorCode.UNKNOWN_MODEL, "model \"" + name.asText() + "\" does not exist"));
  }

  private static JsonNode prompt(ObjectNode body) {
    JsonNode prompt = body.path("prompt");
    if (prompt.isTextual()) {
      return prompt;
    }
    if (!prompt.isArray() || prompt.isEmpty()) {
      throw invalid("field \"prompt\" must be a text or a list of token ids");
    }
    for (JsonNode id : prompt) {
      if (!id.isIntegralNumber()) {
        throw invalid("field \"prompt\" must hold one prompt: a text or a list of token ids");
      }
    }
    return prompt;
  }

  private static JsonNode messages(ObjectNode body) {
    JsonNode messages = body.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw invalid("field \"messages\" must be a list with at least one message");
    }
    for (int i = 0; i < messages.size(); i++) {
      JsonNode message = messages.get(i);
      if (!message.path("role").isTextual() || !message.has("content")) {
        throw invalid("message " + i + " must have \"role\" and \"content\"");
      }
    }
    return messages;
  }

  private static int textTokens(JsonNode prompt) {
    if (prompt.isTextual()) {
      return bytes(prompt.asText()) / BYTES_PER_TOKEN;
    }
    int total = 0;
    for (JsonNode message : prompt) {
      JsonNode content = message.path("content");
      total += bytes(content.isTextual() ? content.asText() : content.toString());
    }
    return total / BYTES_PER_TOKEN;
  }

  private static int bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }

  private static int maxTokens(ObjectNode body, boolean chat) {
    String field =
        chat && body.hasNonNull("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    if (!body.hasNonNull(field)) {
      return chat ? DEFAULT_MAX_CHAT_TOKENS : DEFAULT_MAX_TOKENS;
    }
    JsonNode value = body.path(field);
    if (!value.isIntegralNumber() || value.asLong() < 1 || value.asLong() > MAX_MAX_TOKENS) {
      throw invalid("field \"%s\" must be a number from 1 to %d".formatted(field, MAX_MAX_TOKENS));
    }
    return value.asInt();
  }

  private static boolean flag(ObjectNode body, String field) {
    JsonNode value = body.path(field);
    if (!value.isMissingNode() && !value.isNull() && !value.isBoolean()) {
      throw invalid("field \"" + field + "\" must be true or false");
    }
    return value.asBoolean();
  }

  private static MustardlatchException invalid(String message) {
    return new MustardlatchException(ErrorCode.INVALID_ARGUMENT, message);
  }
}
