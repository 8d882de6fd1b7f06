package org.mustardlatch.core.manifest;

import java.time.Duration;
import org.mustardlatch.core.model.ModelId;

/**
 * A language model with its latency targets and the properties of its engines.
 *
 * @param id name of the model in requests
 * @param firstTokenTarget target for the time from the arrival of a request to its first token
 * @param tokenGapTarget target for the time between two tokens
 * @param maxPromptTokens length of the longest accepted prompt, tokens
 * @param kvBytesPerToken size of the KV cache of one prompt token, bytes
 * @param memoryPieceTokens size of the pieces (blocks) in which engines allocate KV cache memory,
 *     in tokens; not part of the TOML form
 * @param reservable whether engines can reserve a slot and memory before a request is sent; not
 *     part of the TOML form
 */
public record Model(
    ModelId id,
    Duration firstTokenTarget,
    Duration tokenGapTarget,
    int maxPromptTokens,
    long kvBytesPerToken,
    int memoryPieceTokens,
    boolean reservable) {
  /** Default size of a piece of KV cache memory, tokens. */
  public static final int DEFAULT_MEMORY_PIECE_TOKENS = 1000;

  /**
   * Creates a model whose engines allocate KV cache memory in pieces of the default size and take
   * no reservations.
   */
  public Model(
      ModelId id,
      Duration firstTokenTarget,
      Duration tokenGapTarget,
      int maxPromptTokens,
      long kvBytesPerToken) {
    this(
        id,
        firstTokenTarget,
        tokenGapTarget,
        maxPromptTokens,
        kvBytesPerToken,
        DEFAULT_MEMORY_PIECE_TOKENS,
        false);
  }
}
