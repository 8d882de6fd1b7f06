package org.mustardlatch.daemon.routing;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mustardlatch.core.model.ModelId;

/**
 * A caller's generation request after checks.
 *
 * @param chat whether it is a chat completion
 * @param model the model that was asked for
 * @param body the caller's body; must not be changed
 * @param stream whether the caller wants server-sent events
 * @param usageInStream whether the stream ends with an event that tells the usage
 * @param promptIsTokenIds whether the prompt is a list of token ids
 * @param promptTokens length of the prompt, tokens; estimated as bytes / 4 for text
 * @param maxTokens most tokens of the answer
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
  /** Returns the path of the call, the same for callers and engines. */
  public String path() {
    return chat ? "/v1/chat/completions" : "/v1/completions";
  }
}
