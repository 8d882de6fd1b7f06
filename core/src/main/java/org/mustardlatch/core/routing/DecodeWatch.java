package org.mustardlatch.core.routing;

/** Looks at the progress of a decode now and then. */
final class DecodeWatch {
  private static final long FIRST_RENEW_NANOS = 1_000_000_000;
  private static final long RENEW_NANOS = 9_000_000_000L;
  private static final double SLOW_GAP_FACTOR = 1.3;
  private static final int STALL_FACTOR = 10;

  /** What must be done about a decode. */
  enum Verdict {
    FINE,
    /** Tell the admitting node how far it is. */
    RENEW,
    STALLED
  }

  private DecodeWatch() {}

  /** Starts the watch of a decode that has just begun. */
  static void begin(EntryRequest q, Attempt a, long now) {
    a.extended = false;
    a.slow = false;
    a.tokensAtCheck = q.tokensSent;
    a.checkedNanos = now;
  }

  static Verdict look(EntryRequest q, Attempt a, long now) {
    long gap = a.cell.model().tokenGapTarget().toNanos();
    long stall = Math.max(AttemptTimes.MIN_STALL_NANOS, STALL_FACTOR * gap);
    if (now - a.progressNanos >= stall) {
      return Verdict.STALLED;
    }
    long elapsed = now - a.checkedNanos;
    if (elapsed < AttemptTimes.DECODE_CHECK_NANOS) {
      return Verdict.FINE;
    }
    int tokens = q.tokensSent - a.tokensAtCheck;
    boolean slow = elapsed > SLOW_GAP_FACTOR * gap * Math.max(1, tokens);
    a.tokensAtCheck = q.tokensSent;
    a.checkedNanos = now;
    // The admitting node hears at once that an engine became slow or recovered.
    long interval = a.extended ? RENEW_NANOS : FIRST_RENEW_NANOS;
    if (!slow && !a.slow && now - a.renewedNanos < interval) {
      return Verdict.FINE;
    }
    a.extended = true;
    a.slow = slow;
    return Verdict.RENEW;
  }
}
