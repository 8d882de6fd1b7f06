package org.mustardlatch.daemon.operator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.LongAdder;
import org.mustardlatch.core.error.ErrorCode;

/** Counts requests of callers by outcome. */
public final class RequestMetrics {
  private final MeterRegistry registry;
  private final LongAdder lateAnswers = new LongAdder();
  private final Counter complete;
  private final Counter broken;
  private final Counter callersGone;
  private final Counter tokens;

  /** Registers the meters. */
  public RequestMetrics(MeterRegistry registry) {
    this.registry = registry;
    complete = registry.counter("mustardlatch.requests", "outcome", "complete");
    broken = registry.counter("mustardlatch.requests", "outcome", "broken");
    callersGone = registry.counter("mustardlatch.requests", "outcome", "caller_gone");
    tokens = registry.counter("mustardlatch.tokens");
    FunctionCounter.builder("mustardlatch.late_answers_dropped", lateAnswers, LongAdder::sum)
        .description("pieces of answers from attempts that were not current")
        .register(registry);
  }

  /** Returns the counter of dropped pieces. */
  public LongAdder lateAnswers() {
    return lateAnswers;
  }

  /** Counts an answer that ended, whole or broken off, and its tokens. */
  public void ended(boolean whole, int tokenCount) {
    (whole ? complete : broken).increment();
    tokens.increment(tokenCount);
  }

  /** Counts a caller that left before the end of its answer. */
  public void callerGone() {
    callersGone.increment();
  }

  /** Counts an error by its code. */
  public void error(ErrorCode code) {
    registry.counter("mustardlatch.errors", "code", code.wireName()).increment();
  }
}
