package org.mustardlatch.standin;

import java.time.Duration;
import org.kohsuke.args4j.Option;

/** Command-line arguments of an engine stand-in. */
final class EngineArguments {
  @Option(name = "--port", usage = "port to listen on; 0 for any free one")
  private int port;

  @Option(name = "--name", usage = "name of the engine")
  private String name = "engine";

  @Option(name = "--role", usage = "prefill, decode or mixed")
  private String role = "mixed";

  @Option(name = "--prefill-tokens-per-second", usage = "speed of prompt processing")
  private int prefillTokensPerSecond = 20_000;

  @Option(name = "--token-gap-ms", usage = "time between generated tokens, milliseconds")
  private int tokenGapMillis = 20;

  @Option(name = "--slots", usage = "requests that it decodes at a time")
  private int slots = 20;

  @Option(name = "--memory-pieces", usage = "KV memory in pieces of 1,000 tokens")
  private int memoryPieces = 400;

  @Option(name = "--kv-life-ms", usage = "life of an exported KV cache, milliseconds")
  private int kvLifeMillis = 800;

  @Option(name = "--kv-bytes-per-token", usage = "bytes transferred for each prompt token")
  private int kvBytesPerToken = 16;

  @Option(name = "--checks-fencing", usage = "refuse orders with an old fencing token")
  private boolean checksFencing;

  EngineOptions options() {
    return new EngineOptions(
        port,
        name,
        role,
        prefillTokensPerSecond,
        Duration.ofMillis(tokenGapMillis),
        slots,
        memoryPieces,
        Duration.ofMillis(kvLifeMillis),
        kvBytesPerToken,
        checksFencing);
  }
}
