package org.mustardlatch.standin;

import org.jspecify.annotations.Nullable;

/** Fault switches of an engine stand-in; all are off at start. */
public final class EngineFaults {
  private volatile boolean stalled;
  private volatile boolean refusing;
  private volatile boolean leaving;
  private volatile int stallAfterTokens = Integer.MAX_VALUE;
  private volatile int crashAfterTokens = Integer.MAX_VALUE;
  private volatile @Nullable String crashMarker;
  private volatile int ignoredCancels;

  /** Stops all progress of prefill and decode; cancels and reports still work. */
  public synchronized void stall(boolean on) {
    stalled = on;
    notifyAll();
  }

  /** Refuses new work with 503. */
  public void refuse(boolean on) {
    refusing = on;
  }

  /** Refuses new work with 503, {@code Connection: close} and {@code X-Leaving}. */
  public void leave(boolean on) {
    leaving = on;
  }

  /** Stalls each stream after this many tokens. */
  public void stallAfter(int tokens) {
    stallAfterTokens = tokens;
  }

  /** Crashes the engine when a stream reaches this many tokens. */
  public void crashAfter(int tokens) {
    crashAfterTokens = tokens;
  }

  /** Crashes the engine when it decodes a prompt that contains this text; null for never. */
  public void crashOnPrompt(@Nullable String marker) {
    crashMarker = marker;
  }

  /** Answers the next cancels with 500 and keeps what they name. */
  public void ignoreCancels(int count) {
    ignoredCancels = count;
  }

  boolean stalled() {
    return stalled;
  }

  synchronized void awaitNoStall() throws InterruptedException {
    while (stalled) {
      wait();
    }
  }

  boolean refusing() {
    return refusing;
  }

  boolean leaving() {
    return leaving;
  }

  boolean stallsAt(int tokens) {
    return stalled || tokens >= stallAfterTokens;
  }

  boolean crashesAt(int tokens, String prompt) {
    String marker = crashMarker;
    return tokens >= crashAfterTokens || (marker != null && prompt.contains(marker));
  }

  synchronized boolean takeIgnoredCancel() {
    if (ignoredCancels == 0) {
      return false;
    }
    ignoredCancels--;
    return true;
  }

  void reset() {
    stall(false);
    refusing = false;
    leaving = false;
    stallAfterTokens = Integer.MAX_VALUE;
    crashAfterTokens = Integer.MAX_VALUE;
    crashMarker = null;
  }
}
