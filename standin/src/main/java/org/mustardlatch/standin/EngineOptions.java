package org.mustardlatch.standin;

import java.time.Duration;

/**
 * How an engine stand-in behaves.
 *
 * @param port port to listen on; 0 for any free one
 * @param name its name
 * @param role {@code prefill}, {@code decode} or {@code mixed}
 * @param prefillTokensPerSecond prompt tokens per second; prompts are processed one at a time
 * @param tokenGap time between generated tokens
 * @param slots requests that it decodes at a time; further ones are refused
 * @param memoryPieces KV memory in pieces of 1,000 tokens
 * @param kvLife how long an exported KV cache is kept
 * @param kvBytesPerToken bytes that are transferred for each prompt token
 * @param checksFencing whether orders with an old fencing token are refused
 */
public record EngineOptions(
    int port,
    String name,
    String role,
    int prefillTokensPerSecond,
    Duration tokenGap,
    int slots,
    int memoryPieces,
    Duration kvLife,
    int kvBytesPerToken,
    boolean checksFencing) {

  /** Returns a fast engine on any free port, for tests. */
  public static EngineOptions fast(String name, String role) {
    return new EngineOptions(
        0,
        name,
        role,
        10_000_000,
        Duration.ofMillis(1),
        256,
        100_000,
        Duration.ofSeconds(5),
        4,
        true);
  }

  /** Returns a copy with another time between tokens. */
  public EngineOptions withTokenGap(Duration gap) {
    return new EngineOptions(
        port,
        name,
        role,
        prefillTokensPerSecond,
        gap,
        slots,
        memoryPieces,
        kvLife,
        kvBytesPerToken,
        checksFencing);
  }

  /** Returns a copy with another number of slots. */
  public EngineOptions withSlots(int count) {
    return new EngineOptions(
        port,
        name,
        role,
        prefillTokensPerSecond,
        tokenGap,
        count,
        memoryPieces,
        kvLife,
        kvBytesPerToken,
        checksFencing);
  }
}
