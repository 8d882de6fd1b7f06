package org.mustardlatch.daemon.operator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.LongAdder;
import org.mustardlatch.core.error.ErrorCode;

/**
 * Counts generation requests by outcome, generated tokens, and error responses to callers by code.
 * A request that fails before the first byte of its response counts as an error response only. Safe
 * for use by several threads.
 */
public final class RequestMetrics {
  private final MeterRegistry registry;
  private final LongAdder droppedChunks = new LongAdder();
  private final Counter completed;
  private final Counter failed;
  private final Counter disconnected;
  private final Counter tokens;

  /** Registers the meters with the registry. */
  public RequestMetrics(MeterRegistry registry) {
    this.registry = registry;
    completed = registry.counter("mustardlatch.requests", "outcome", "complete");
    failed = registry.counter("mustardlatch.requests", "outcome", "broken");
    disconnected = registry.counter("mustardlatch.requests", "outcome", "caller_gone");
    tokens = registry.counter("mustardlatch.tokens");
    FunctionCounter.builder("mustardlatch.late_answers_dropped", droppedChunks, LongAdder::sum)
        .description("pieces of answers from attempts that were not current")
        .register(registry);
  }

  /**
   * Returns the counter of output chunks that arrived after their attempt was superseded or the
   * response had ended, and were dropped.
   */
  public LongAdder droppedChunks() {
    return droppedChunks;
  }

  /**
   * Counts a finished response and its tokens.
   *
   * @param complete whether the whole output was written; false if a stream broke off
   * @param tokenCount number of generated tokens
   */
  public void recordResponse(boolean complete, int tokenCount) {
    (complete ? completed : failed).increment();
    tokens.increment(tokenCount);
  }

  /** Counts a caller that disconnected before the end of its response. */
  public void recordDisconnect() {
    disconnected.increment();
  }

  /** Counts an error response by its code. */
  public void recordError(ErrorCode code) {
    registry.counter("mustardlatch.errors", "code", code.wireName()).increment();
  }
}
