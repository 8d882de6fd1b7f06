package org.mustardlatch.replay;

import java.util.function.Consumer;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.routing.GenerationRequest;
import org.mustardlatch.core.routing.RoutingEvent;

/**
 * Work that a node sends to a fake engine.
 *
 * @param attempt its name
 * @param owner the node that sent it
 * @param incarnation incarnation of that node
 * @param request the request
 * @param promptTokens tokens to prefill, with those that a resumed answer already has
 * @param outputTokens length of the whole answer
 * @param reply receives what happens to it, at the engine's time
 */
record EngineWork(
    AttemptId attempt,
    HostId owner,
    long incarnation,
    GenerationRequest request,
    int promptTokens,
    int outputTokens,
    Consumer<RoutingEvent> reply) {
  private static final int PIECE_TOKENS = 1000;

  /** Returns the KV memory for this many tokens, pieces of 1,000 tokens. */
  static int pieces(int tokens) {
    return (tokens + PIECE_TOKENS - 1) / PIECE_TOKENS;
  }
}
