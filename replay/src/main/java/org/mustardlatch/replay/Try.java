package org.mustardlatch.replay;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.routing.GenerationRequest;

/** One request of a caller: the first of a call or one after a refusal. */
final class Try {
  private final int call;
  private final int number;
  private final TraceLine.Arrival arrival;
  private final GenerationRequest request;
  private final ReplayNode node;
  private final long startNanos;
  private @Nullable AttemptId current;
  private String reference = "";
  private @Nullable Ending ending;
  private int tokens;
  private long firstNanos;
  private long lastNanos;
  private long longestGapNanos;

  /**
   * Creates a try that is in progress.
   *
   * @param call index of the call
   * @param number 0 for the first try of the call
   */
  Try(
      int call,
      int number,
      TraceLine.Arrival arrival,
      GenerationRequest request,
      ReplayNode node,
      long startNanos) {
    this.call = call;
    this.number = number;
    this.arrival = arrival;
    this.request = request;
    this.node = node;
    this.startNanos = startNanos;
  }

  int call() {
    return call;
  }

  int number() {
    return number;
  }

  TraceLine.Arrival arrival() {
    return arrival;
  }

  GenerationRequest request() {
    return request;
  }

  ReplayNode node() {
    return node;
  }

  long startNanos() {
    return startNanos;
  }

  int tokens() {
    return tokens;
  }

  @Nullable Ending ending() {
    return ending;
  }

  /** Makes an attempt, which decodes this prefill result, the one whose tokens the caller gets. */
  void setCurrent(AttemptId attempt, String kvReference) {
    current = attempt;
    reference = kvReference;
  }

  /** Returns the prefill result behind the current attempt; empty when there is none. */
  String reference() {
    return reference;
  }

  /** Passes tokens to the caller unless the try is over or they are of another attempt. */
  void receive(AttemptId attempt, int count, long nowNanos) {
    if (ending != null || !attempt.equals(current)) {
      return;
    }
    if (tokens == 0) {
      firstNanos = nowNanos;
    } else {
      longestGapNanos = Math.max(longestGapNanos, nowNanos - lastNanos);
    }
    lastNanos = nowNanos;
    tokens += count;
  }

  /** Ends the try; returns false when it was over before. */
  boolean end(Ending how) {
    if (ending != null) {
      return false;
    }
    boolean whole = tokens == arrival.outputTokens();
    ending = how == Ending.COMPLETE && !whole ? Ending.INCOMPLETE : how;
    return true;
  }

  /** Returns the time to first token, nanoseconds; call only when there are tokens. */
  long firstTokenNanos() {
    return firstNanos - startNanos;
  }

  long longestGapNanos() {
    return longestGapNanos;
  }

  /** Returns whether the whole answer came within both targets. */
  boolean isGood(long gapTargetNanos) {
    return ending == Ending.COMPLETE
        && firstTokenNanos() <= arrival.firstTokenMs() * 1_000_000
        && longestGapNanos <= gapTargetNanos;
  }
}
