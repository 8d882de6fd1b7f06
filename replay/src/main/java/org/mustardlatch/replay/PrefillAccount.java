package org.mustardlatch.replay;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.RequestId;

/** Counts prompt tokens that engines computed, and what became of them. */
final class PrefillAccount {
  private final Map<String, Run> runs = new HashMap<>();
  private long nextReference;
  private long computedTokens;

  /** Records a prefill, whole or cut short, and returns the reference of its result. */
  String computed(RequestId request, long tokens) {
    computedTokens += tokens;
    String reference = "kv-" + nextReference++;
    runs.put(reference, new Run(request, tokens));
    return reference;
  }

  /** Records why a result may be lost; the first cause of a result is kept. */
  void failed(String reference, WasteCause cause) {
    Run r = runs.get(reference);
    if (r != null && r.cause == null) {
      r.cause = cause;
    }
  }

  /** Records that a result led to a completed answer. */
  void used(String reference) {
    runs.remove(reference);
  }

  long computedTokens() {
    return computedTokens;
  }

  /**
   * Returns wasted tokens by cause.
   *
   * @param ending gives the cause for results that were dropped without a failure
   */
  Map<WasteCause, Long> wasted(Function<RequestId, WasteCause> ending) {
    Map<WasteCause, Long> sums = new EnumMap<>(WasteCause.class);
    for (Run r : runs.values()) {
      WasteCause cause = r.cause != null ? r.cause : ending.apply(r.request);
      sums.merge(cause, r.tokens, Long::sum);
    }
    return sums;
  }

  private static final class Run {
    private final RequestId request;
    private final long tokens;
    private @Nullable WasteCause cause;

    Run(RequestId request, long tokens) {
      this.request = request;
      this.tokens = tokens;
    }
  }
}
