package org.mustardlatch.daemon.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import org.mustardlatch.daemon.routing.Chunk;
import org.mustardlatch.daemon.routing.GenerationExchange;
import org.mustardlatch.daemon.routing.GenerationInput;

/**
 * Makes the JSON of answers. Id, model and time are the router's own, so that an answer that a
 * second engine continues looks like one answer.
 */
final class AnswerChunks {
  private final String id;
  private final GenerationInput input;
  private final long createdSeconds = Instant.now().getEpochSecond();

  AnswerChunks(GenerationExchange exchange) {
    this.id = (exchange.input().chat() ? "chatcmpl-" : "cmpl-") + exchange.id();
    this.input = exchange.input();
  }

  /** Returns an event of a stream. */
  String event(Chunk chunk) {
    ObjectNode event = head(input.chat() ? "chat.completion.chunk" : "text_completion");
    event.putArray("choices").add(chunk.choice());
    return event.toString();
  }

  /** Returns the event that tells the usage at the end of a stream. */
  String usageEvent(int tokens) {
    ObjectNode event = head(input.chat() ? "chat.completion.chunk" : "text_completion");
    event.putArray("choices");
    putUsage(event, tokens);
    return event.toString();
  }

  /** Returns a whole answer. */
  String whole(String text, String finishReason, int tokens) {
    ObjectNode answer = head(input.chat() ? "chat.completion" : "text_completion");
    ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
    if (input.chat()) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", finishReason);
    putUsage(answer, tokens);
    return answer.toString();
  }

  private ObjectNode head(String object) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("id", id)
        .put("object", object)
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
