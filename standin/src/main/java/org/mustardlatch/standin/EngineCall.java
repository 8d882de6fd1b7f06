package org.mustardlatch.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.javalin.http.Context;

/**
 * A generation call as an engine reads it.
 *
 * @param attempt name of the attempt
 * @param owner host of the router that sent it
 * @param incarnation that router's incarnation
 * @param chat whether it is a chat completion
 * @param prompt text of the prompt
 * @param tokenIds whether the answer carries token ids
 * @param maxTokens length of the answer, tokens
 * @param kv transfer parameters
 */
record EngineCall(
    String attempt,
    String owner,
    long incarnation,
    boolean chat,
    String prompt,
    boolean tokenIds,
    int maxTokens,
    JsonNode kv) {
  private static final int DEFAULT_MAX_TOKENS = 16;
  private static final int BYTES_PER_TOKEN = 4;
  private static final int TOKENS_PER_PIECE = 1000;

  static EngineCall read(Context ctx, boolean chat) {
    JsonNode body = Json.read(ctx.body());
    String attempt = ctx.header("X-Request-Id");
    if (attempt == null) {
      throw new EngineError(400, "missing_request_id", "header X-Request-Id is missing");
    }
    String owner = String.valueOf(ctx.header("X-Router-Incarnation"));
    int slash = owner.lastIndexOf('/');
    return new EngineCall(
        attempt,
        slash < 0 ? owner : owner.substring(0, slash),
        slash < 0 ? 0 : Long.parseLong(owner.substring(slash + 1)),
        chat,
        chat ? chatPrompt(body) : textOf(body.path("prompt")),
        body.path("return_token_ids").asBoolean(),
        body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS),
        body.path("kv_transfer_params"));
  }

  boolean isPrefill() {
    return kv.path("do_remote_decode").asBoolean();
  }

  int promptTokens() {
    return Math.max(1, prompt.length() / BYTES_PER_TOKEN);
  }

  /** Returns the memory for the given number of tokens, in pieces of 1,000 tokens. */
  static int pieces(int tokens) {
    return (tokens + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE;
  }

  /**
   * Returns the prompt text that a chat template makes of messages.
   *
   * @param body the body of a chat completion; its last message is continued when {@code
   *     continue_final_message} is true
   */
  static String chatPrompt(JsonNode body) {
    StringBuilder prompt = new StringBuilder();
    JsonNode messages = body.path("messages");
    boolean continued = body.path("continue_final_message").asBoolean();
    for (int i = 0; i < messages.size(); i++) {
      JsonNode message = messages.get(i);
      prompt.append('<').append(message.path("role").asText()).append('>');
      prompt.append(message.path("content").asText());
      if (!continued || i < messages.size() - 1) {
        prompt.append('\n');
      }
    }
    return continued ? prompt.toString() : prompt.append("<assistant>").toString();
  }

  private static String textOf(JsonNode prompt) {
    if (!prompt.isArray()) {
      return prompt.asText();
    }
    StringBuilder text = new StringBuilder();
    prompt.forEach(id -> text.append(TokenText.textOf(id.asInt())));
    return text.toString();
  }
}
