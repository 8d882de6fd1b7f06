package org.mustardlatch.standin;

/** Allows a number of calls in each second. */
final class CallLimit {
  private long second;
  private int used;

  synchronized boolean allows(int perSecond, long nowNanos) {
    if (perSecond == 0) {
      return true;
    }
    long current = nowNanos / 1_000_000_000L;
    if (current != second) {
      second = current;
      used = 0;
    }
    return ++used <= perSecond;
  }
}
