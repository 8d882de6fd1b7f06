package org.mustardlatch.daemon.operator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.LongAdder;
import org.mustardlatch.core.error.ErrorCode;

/** Counts requests of callers by outcome. */
public final class RequestMetrics {
  private final MeterRegistry registry;
  private final LongAdder staleChunks = new LongAdder();
  private final Counter completed;
  private final Counter failed;
  private final Counter disconnected;
  private final Counter tokens;

  /** Registers the meters. */
  public RequestMetrics(MeterRegistry registry) {
    this.registry = registry;
    completed = registry.counter("mustardlatch.requests", "outcome", "complete");
    failed = registry.counter("mustardlatch.requests", "outcome", "broken");
    disconnected = registry.counter("mustardlatch.requests", "outcome", "caller_gone");
    tokens = registry.counter("mustardlatch.tokens");
    FunctionCounter.builder("mustardlatch.late_answers_dropped", staleChunks, LongAdder::sum)
        .description("pieces of answers from attempts that were not current")
        .register(registry);
  }

  /** Returns the counter of dropped pieces. */
  public LongAdder staleChunks() {
    return staleChunks;
  }

  /** Counts an answer that ended, whole or broken off, and its tokens. */
  public void recordResponse(boolean whole, int tokenCount) {
    (whole ? completed : failed).increment();
    tokens.increment(tokenCount);
  }

  /** Counts a caller that left before the end of its answer. */
  public void recordDisconnect() {
    disconnected.increment();
  }

  /** Counts an error by its code. */
  public void recordError(ErrorCode code) {
    registry.counter("mustardlatch.errors", "code", code.wireName()).increment();
  }
}
