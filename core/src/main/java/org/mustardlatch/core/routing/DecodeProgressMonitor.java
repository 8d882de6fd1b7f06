package org.mustardlatch.core.routing;

/** Looks at the progress of a decode now and then. */
final class DecodeProgressMonitor {
  private static final long FIRST_RENEWAL_NANOS = 1_000_000_000;
  private static final long RENEWAL_INTERVAL_NANOS = 9_000_000_000L;
  private static final double SLOW_GAP_FACTOR = 1.3;
  private static final int STALL_GAP_FACTOR = 10;

  /** What must be done about a decode. */
  enum Assessment {
    ON_TRACK,
    /** Tell the admitting node how far it is. */
    RENEWAL_DUE,
    STALLED
  }

  private DecodeProgressMonitor() {}

  /** Starts the watch of a decode that has just begun. */
  static void start(EntryRequest q, Attempt a, long now) {
    a.renewedInStage = false;
    a.reportedSlow = false;
    a.tokensAtLastCheck = q.tokensSent;
    a.lastCheckNanos = now;
  }

  static Assessment assess(EntryRequest q, Attempt a, long now) {
    long gap = a.cell.model().tokenGapTarget().toNanos();
    long stall = Math.max(AttemptDeadlines.MIN_STALL_TIMEOUT_NANOS, STALL_GAP_FACTOR * gap);
    if (now - a.lastProgressNanos >= stall) {
      return Assessment.STALLED;
    }
    long elapsed = now - a.lastCheckNanos;
    if (elapsed < AttemptDeadlines.DECODE_CHECK_INTERVAL_NANOS) {
      return Assessment.ON_TRACK;
    }
    int tokens = q.tokensSent - a.tokensAtLastCheck;
    boolean slow = elapsed > SLOW_GAP_FACTOR * gap * Math.max(1, tokens);
    a.tokensAtLastCheck = q.tokensSent;
    a.lastCheckNanos = now;
    // The admitting node hears at once that an engine became slow or recovered.
    long interval = a.renewedInStage ? RENEWAL_INTERVAL_NANOS : FIRST_RENEWAL_NANOS;
    if (!slow && !a.reportedSlow && now - a.lastRenewalNanos < interval) {
      return Assessment.ON_TRACK;
    }
    a.renewedInStage = true;
    a.reportedSlow = slow;
    return Assessment.RENEWAL_DUE;
  }
}
