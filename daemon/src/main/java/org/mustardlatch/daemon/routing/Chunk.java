package org.mustardlatch.daemon.routing;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A chunk of generated output from an engine.
 *
 * @param choice the choice object as the engine sent it, except for its token ids
 * @param text the new text; may be empty
 * @param tokenIds ids of the new tokens; empty unless the prompt is a list of token ids
 * @param tokens number of new tokens
 * @param finishReason reason why the output ends with this chunk; null when more follows
 */
public record Chunk(
    ObjectNode choice,
    String text,
    List<Integer> tokenIds,
    int tokens,
    @Nullable String finishReason) {
  /** Copies the list of token ids. */
  public Chunk {
    tokenIds = List.copyOf(tokenIds);
  }
}
