package org.mustardlatch.core.routing;

/** Detects slow and stalled decodes by the tokens that arrived since the last check. */
final class DecodeProgressMonitor {
  private static final long FIRST_RENEWAL_NANOS = 1_000_000_000;
  private static final long RENEWAL_INTERVAL_NANOS = 9_000_000_000L;
  private static final double SLOW_GAP_FACTOR = 1.3;
  private static final int STALL_GAP_FACTOR = 10;

  /** Result of a progress check. */
  enum Assessment {
    /** No action is needed. */
    ON_TRACK,
    /** The progress must be reported to the admitting node with a renewal. */
    RENEWAL_DUE,
    /** No token arrived for the stall timeout. */
    STALLED
  }

  private DecodeProgressMonitor() {}

  /** Resets the progress state of an attempt whose decode has just started. */
  static void start(EntryRequest q, Attempt a, long now) {
    a.renewedInStage = false;
    a.reportedSlow = false;
    a.tokensAtLastCheck = q.tokensSent;
    a.lastCheckNanos = now;
  }

  /** Returns what must be done about a decode, and records the check in the attempt. */
  static Assessment assess(EntryRequest q, Attempt a, long now) {
    long gap = a.cell.model().tokenGapTarget().toNanos();
    long stallTimeout = Math.max(AttemptDeadlines.MIN_STALL_TIMEOUT_NANOS, STALL_GAP_FACTOR * gap);
    if (now - a.lastProgressNanos >= stallTimeout) {
      return Assessment.STALLED;
    }
    long sinceLastCheck = now - a.lastCheckNanos;
    if (sinceLastCheck < AttemptDeadlines.DECODE_CHECK_INTERVAL_NANOS) {
      return Assessment.ON_TRACK;
    }
    int newTokens = q.tokensSent - a.tokensAtLastCheck;
    boolean slow = sinceLastCheck > SLOW_GAP_FACTOR * gap * Math.max(1, newTokens);
    a.tokensAtLastCheck = q.tokensSent;
    a.lastCheckNanos = now;
    // A slow decode is reported at every check, and its recovery at once.
    long renewalInterval = a.renewedInStage ? RENEWAL_INTERVAL_NANOS : FIRST_RENEWAL_NANOS;
    if (!slow && !a.reportedSlow && now - a.lastRenewalNanos < renewalInterval) {
      return Assessment.ON_TRACK;
    }
    a.renewedInStage = true;
    a.reportedSlow = slow;
    return Assessment.RENEWAL_DUE;
  }
}
