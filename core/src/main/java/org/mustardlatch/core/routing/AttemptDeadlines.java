package org.mustardlatch.core.routing;

import org.mustardlatch.core.model.RegionId;

/** When an attempt is looked at again, and when it is given up. */
final class AttemptDeadlines {
  // An admitting node of this region answers within a millisecond; one that does not is gone.
  private static final long LOCAL_RESPONSE_TIMEOUT_NANOS = 50_000_000;
  // An engine reserves within a millisecond; the rest is the way to another region and back.
  static final long ENGINE_RESERVE_TIMEOUT_NANOS = 150_000_000;
  private static final long REMOTE_RESPONSE_TIMEOUT_NANOS = 300_000_000;
  // A transfer that has not ended this long before its KV cache expires is taken elsewhere.
  private static final long TRANSFER_RETRY_MARGIN_NANOS = 200_000_000;
  static final long DECODE_CHECK_INTERVAL_NANOS = 500_000_000;
  static final long QUEUE_CHECK_INTERVAL_NANOS = 200_000_000;
  static final long MIN_STALL_TIMEOUT_NANOS = 2_000_000_000;

  // Scheduling noise of short prefills. With 20 ms a daemon that had just started took every first
  // prefill for late.
  private static final long LATE_PREFILL_SLACK_NANOS = 50_000_000;

  private final NodeSettings settings;
  private final RegionId region;

  AttemptDeadlines(NodeSettings settings, RegionId region) {
    this.settings = settings;
    this.region = region;
  }

  /** Returns the time after which a first token of this attempt is of no use. */
  long firstTokenCutoffNanos(EntryRequest q, Attempt a) {
    long target = a.cell.model().firstTokenTarget().toNanos();
    long grace = (long) (settings.tuning().lateGrace() * target);
    long promised = a.grantedNanos + a.predictedFirstTokenNanos();
    if (q.tokensSent > 0) {
      return Math.min(q.request.finalDeadlineNanos(), promised + MIN_STALL_TIMEOUT_NANOS);
    }
    return Math.max(q.request.firstTokenDeadlineNanos(), promised) + grace;
  }

  /** Returns the time at which a prefill counts as late. */
  long latePrefillNanos(Attempt a) {
    return a.grantedNanos
        + (long) (a.predictedFirstTokenNanos() * settings.tuning().lateFactor())
        + LATE_PREFILL_SLACK_NANOS;
  }

  static long transferDeadlineNanos(Attempt a, KvHandle handle) {
    return Math.max(
        a.stateSinceNanos + TRANSFER_RETRY_MARGIN_NANOS, handle.expiresNanos() - TRANSFER_RETRY_MARGIN_NANOS);
  }

  private static long nextTransferCheckNanos(Attempt a, long now) {
    return a.kvHandle == null ? now : transferDeadlineNanos(a, a.kvHandle);
  }

  long responseTimeoutNanos(Attempt a) {
    return a.cell.region().equals(region) ? LOCAL_RESPONSE_TIMEOUT_NANOS : REMOTE_RESPONSE_TIMEOUT_NANOS;
  }

  /** Returns the time at which the attempt must be looked at if nothing happens before. */
  long nextCheckNanos(EntryRequest q, Attempt a, long now) {
    return switch (a.state) {
      case ASKING -> a.lastReservationRequestNanos + responseTimeoutNanos(a);
      case QUEUED -> {
        boolean unanswered = a.lastReservationRequestNanos > a.lastProgressNanos;
        yield a.lastReservationRequestNanos + (unanswered ? responseTimeoutNanos(a) : QUEUE_CHECK_INTERVAL_NANOS);
      }
      case RESERVING -> a.stateSinceNanos + ENGINE_RESERVE_TIMEOUT_NANOS;
      case PREFILL -> a.renewedInStage ? firstTokenCutoffNanos(q, a) + 1 : latePrefillNanos(a);
      case TRANSFER -> Math.max(now + DECODE_CHECK_INTERVAL_NANOS / 10, nextTransferCheckNanos(a, now));
      case DECODE -> now + DECODE_CHECK_INTERVAL_NANOS;
    };
  }
}
