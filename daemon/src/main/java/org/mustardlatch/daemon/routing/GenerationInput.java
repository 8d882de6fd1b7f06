package org.mustardlatch.daemon.routing;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mustardlatch.core.model.ModelId;

/**
 * A caller's validated generation request.
 *
 * @param chat whether the request is a chat completion, as opposed to a text completion
 * @param model the requested model
 * @param body the caller's body; must not be changed
 * @param stream whether the response is a stream of server-sent events
 * @param usageInStream whether the stream ends with an event that reports the token usage
 * @param promptIsTokenIds whether the prompt is a list of token ids
 * @param promptTokens length of the prompt, tokens; estimated as bytes / 4 for text
 * @param maxTokens maximum number of generated tokens
 */
public record GenerationInput(
    boolean chat,
    ModelId model,
    ObjectNode body,
    boolean stream,
    boolean usageInStream,
    boolean promptIsTokenIds,
    int promptTokens,
    int maxTokens) {
  /** Returns the path of the HTTP call, which is the same for callers and engines. */
  public String path() {
    return chat ? "/v1/chat/completions" : "/v1/completions";
  }
}
