package org.mustardlatch.daemon.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import org.mustardlatch.daemon.routing.Chunk;
import org.mustardlatch.daemon.routing.GenerationExchange;
import org.mustardlatch.daemon.routing.GenerationInput;

/**
 * Formats the JSON of one completion response in the OpenAI format. Id, model and creation time
 * come from the router and not from the engine, so that the caller sees one consistent response
 * also when a second engine continues the output of a failed one.
 */
final class CompletionFormatter {
  private final String id;
  private final GenerationInput input;
  private final long createdSeconds = Instant.now().getEpochSecond();

  CompletionFormatter(GenerationExchange exchange) {
    this.id = (exchange.input().chat() ? "chatcmpl-" : "cmpl-") + exchange.id();
    this.input = exchange.input();
  }

  /** Returns the data of a stream event that carries one chunk of output. */
  String formatChunk(Chunk chunk) {
    ObjectNode event = createObject(input.chat() ? "chat.completion.chunk" : "text_completion");
    event.putArray("choices").add(chunk.choice());
    return event.toString();
  }

  /**
   * Returns the data of the event that reports token usage at the end of a stream.
   *
   * @param tokens number of generated tokens
   */
  String formatUsage(int tokens) {
    ObjectNode event = createObject(input.chat() ? "chat.completion.chunk" : "text_completion");
    event.putArray("choices");
    putUsage(event, tokens);
    return event.toString();
  }

  /**
   * Returns the body of a response that is not streamed.
   *
   * @param tokens number of generated tokens
   */
  String formatCompletion(String text, String finishReason, int tokens) {
    ObjectNode completion = createObject(input.chat() ? "chat.completion" : "text_completion");
    ObjectNode choice = completion.putArray("choices").addObject().put("index", 0);
    if (input.chat()) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", finishReason);
    putUsage(completion, tokens);
    return completion.toString();
  }

  private ObjectNode createObject(String objectType) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("id", id)
        .put("object", objectType)
        .put("created", createdSeconds)
        .put("model", input.model().value());
  }

  private void putUsage(ObjectNode node, int tokens) {
    node.putObject("usage")
        .put("prompt_tokens", input.promptTokens())
        .put("completion_tokens", tokens)
        .put("total_tokens", input.promptTokens() + tokens);
  }
}
