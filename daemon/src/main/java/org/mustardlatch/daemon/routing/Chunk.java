package org.mustardlatch.daemon.routing;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A piece of an answer as an engine sent it.
 *
 * @param choice the engine's choice object
 * @param text the new text; may be empty
 * @param tokenIds ids of the new tokens; empty unless they were asked for
 * @param tokens number of new tokens
 * @param finishReason why the answer ends here; null when it goes on
 */
public record Chunk(
    ObjectNode choice,
    String text,
    List<Integer> tokenIds,
    int tokens,
    @Nullable String finishReason) {
  /** Copies the list. */
  public Chunk {
    tokenIds = List.copyOf(tokenIds);
  }
}
