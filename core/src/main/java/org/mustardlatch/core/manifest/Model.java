package org.mustardlatch.core.manifest;

import java.time.Duration;
import org.mustardlatch.core.model.ModelId;

/**
 * A model and its latency targets.
 *
 * @param id name that callers use
 * @param firstTokenTarget time from arrival to the first token
 * @param tokenGapTarget time between tokens
 * @param maxPromptTokens longest prompt that is accepted, tokens
 * @param kvBytesPerToken size of the KV cache of one prompt token, bytes
 * @param memoryPieceTokens tokens of the pieces in which engines allocate KV memory
 * @param reservable whether engines reserve a slot and memory ahead of a request
 */
public record Model(
    ModelId id,
    Duration firstTokenTarget,
    Duration tokenGapTarget,
    int maxPromptTokens,
    long kvBytesPerToken,
    int memoryPieceTokens,
    boolean reservable) {
  /** Tokens of a piece of KV memory where nothing else is stated. */
  public static final int DEFAULT_MEMORY_PIECE_TOKENS = 1000;

  /** Creates a model whose engines allocate KV memory in pieces of the usual size. */
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
