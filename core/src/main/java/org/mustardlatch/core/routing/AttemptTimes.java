package org.mustardlatch.core.routing;

import org.mustardlatch.core.model.RegionId;

/** When an attempt is looked at again, and when it is given up. */
final class AttemptTimes {
  // An admitting node of this region answers within a millisecond; one that does not is gone.
  private static final long ASK_TIMEOUT_NANOS = 50_000_000;
  // An engine reserves within a millisecond; the rest is the way to another region and back.
  static final long RESERVE_TIMEOUT_NANOS = 150_000_000;
  private static final long REMOTE_ASK_TIMEOUT_NANOS = 300_000_000;
  // A transfer that has not ended this long before its KV cache expires is taken elsewhere.
  private static final long TRANSFER_RESERVE_NANOS = 200_000_000;
  static final long DECODE_CHECK_NANOS = 500_000_000;
  static final long QUEUE_CHECK_NANOS = 200_000_000;
  static final long MIN_STALL_NANOS = 2_000_000_000;

  // Scheduling noise of short prefills. With 20 ms a daemon that had just started took every first
  // prefill for late.
  private static final long LATE_SLACK_NANOS = 50_000_000;

  private final NodeSettings settings;
  private final RegionId region;

  AttemptTimes(NodeSettings settings, RegionId region) {
    this.settings = settings;
    this.region = region;
  }

  /** Returns the time after which a first token of this attempt is of no use. */
  long latestUseful(EntryRequest q, Attempt a) {
    long target = a.cell.model().firstTokenTarget().toNanos();
    long grace = (long) (settings.policyParameters().latePrefillGrace() * target);
    long promised = a.grantedNanos + a.predictedNanos();
    if (q.tokensSent > 0) {
      return Math.min(q.request.finalDeadlineNanos(), promised + MIN_STALL_NANOS);
    }
    return Math.max(q.request.firstTokenDeadlineNanos(), promised) + grace;
  }

  /** Returns the time at which a prefill counts as late. */
  long lateAt(Attempt a) {
    return a.grantedNanos
        + (long) (a.predictedNanos() * settings.policyParameters().latePrefillFactor())
        + LATE_SLACK_NANOS;
  }

  static long transferLimit(Attempt a, KvHandle handle) {
    return Math.max(
        a.sinceNanos + TRANSFER_RESERVE_NANOS, handle.expiresNanos() - TRANSFER_RESERVE_NANOS);
  }

  private static long transferCheck(Attempt a, long now) {
    return a.handle == null ? now : transferLimit(a, a.handle);
  }

  long askTimeout(Attempt a) {
    return a.cell.region().equals(region) ? ASK_TIMEOUT_NANOS : REMOTE_ASK_TIMEOUT_NANOS;
  }

  /** Returns the time at which the attempt must be looked at if nothing happens before. */
  long nextCheck(EntryRequest q, Attempt a, long now) {
    return switch (a.state) {
      case ASKING -> a.lastAskNanos + askTimeout(a);
      case QUEUED -> {
        boolean unanswered = a.lastAskNanos > a.progressNanos;
        yield a.lastAskNanos + (unanswered ? askTimeout(a) : QUEUE_CHECK_NANOS);
      }
      case RESERVING -> a.sinceNanos + RESERVE_TIMEOUT_NANOS;
      case PREFILL -> a.extended ? latestUseful(q, a) + 1 : lateAt(a);
      case TRANSFER -> Math.max(now + DECODE_CHECK_NANOS / 10, transferCheck(a, now));
      case DECODE -> now + DECODE_CHECK_NANOS;
    };
  }
}
