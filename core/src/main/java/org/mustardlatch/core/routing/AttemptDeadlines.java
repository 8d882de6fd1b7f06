package org.mustardlatch.core.routing;

import org.mustardlatch.core.model.RegionId;

/**
 * Computes the deadline of an attempt in each of its states, and the time of its next check. Times
 * are monotonic nanoseconds of this node.
 */
final class AttemptDeadlines {
  // An admitting node of this region responds within a millisecond; one that exceeds the timeout is
  // dead or unreachable.
  private static final long LOCAL_RESPONSE_TIMEOUT_NANOS = 50_000_000;
  // An engine reserves a slot within a millisecond; the rest covers the round trip to another
  // region.
  static final long ENGINE_RESERVE_TIMEOUT_NANOS = 150_000_000;
  private static final long REMOTE_RESPONSE_TIMEOUT_NANOS = 300_000_000;
  // A transfer that has not completed this long before its KV cache expires is moved to another
  // engine.
  private static final long TRANSFER_RETRY_MARGIN_NANOS = 200_000_000;
  static final long DECODE_CHECK_INTERVAL_NANOS = 500_000_000;
  static final long QUEUE_CHECK_INTERVAL_NANOS = 200_000_000;
  static final long MIN_STALL_TIMEOUT_NANOS = 2_000_000_000;

  // Allowance for scheduling noise in short prefills. At 20 ms, a daemon that had just started
  // classified every first prefill as late.
  private static final long LATE_PREFILL_SLACK_NANOS = 50_000_000;

  private final NodeSettings settings;
  private final RegionId region;

  AttemptDeadlines(NodeSettings settings, RegionId region) {
    this.settings = settings;
    this.region = region;
  }

  /**
   * Returns the time after which the end of the prefill is of no use any more. For a continued
   * stream it is the earlier of the final deadline and the stall timeout after the predicted first
   * token; for a new stream, the later of the caller's wait limit and the predicted first token,
   * plus a grace period.
   */
  long firstTokenCutoffNanos(EntryRequest q, Attempt a) {
    long target = a.cell.model().firstTokenTarget().toNanos();
    long gracePeriod = (long) (settings.policyParameters().latePrefillGrace() * target);
    long predictedAtNanos = a.grantedNanos + a.predictedFirstTokenNanos();
    if (q.tokensSent > 0) {
      return Math.min(q.request.finalDeadlineNanos(), predictedAtNanos + MIN_STALL_TIMEOUT_NANOS);
    }
    return Math.max(q.request.waitLimitNanos(), predictedAtNanos) + gracePeriod;
  }

  /** Returns the time after which a running prefill counts as late. */
  long latePrefillNanos(Attempt a) {
    return a.grantedNanos
        + (long) (a.predictedFirstTokenNanos() * settings.policyParameters().latePrefillFactor())
        + LATE_PREFILL_SLACK_NANOS;
  }

  /** Returns the time by which the decode engine must have fetched the KV cache. */
  static long transferDeadlineNanos(Attempt a, KvHandle kvHandle) {
    return Math.max(
        a.stateSinceNanos + TRANSFER_RETRY_MARGIN_NANOS,
        kvHandle.expiresNanos() - TRANSFER_RETRY_MARGIN_NANOS);
  }

  private static long nextTransferCheckNanos(Attempt a, long now) {
    return a.kvHandle == null ? now : transferDeadlineNanos(a, a.kvHandle);
  }

  /** Returns how long an admitting node may take to respond, nanoseconds. */
  long responseTimeoutNanos(Attempt a) {
    return a.cell.region().equals(region)
        ? LOCAL_RESPONSE_TIMEOUT_NANOS
        : REMOTE_RESPONSE_TIMEOUT_NANOS;
  }

  /** Returns the time at which the attempt must be checked if no event arrives before. */
  long nextCheckNanos(EntryRequest q, Attempt a, long now) {
    return switch (a.state) {
      case ASKING -> a.lastRequestNanos + responseTimeoutNanos(a);
      case QUEUED -> {
        boolean unanswered = a.lastRequestNanos > a.lastProgressNanos;
        yield a.lastRequestNanos
            + (unanswered ? responseTimeoutNanos(a) : QUEUE_CHECK_INTERVAL_NANOS);
      }
      case RESERVING -> a.stateSinceNanos + ENGINE_RESERVE_TIMEOUT_NANOS;
      case PREFILL -> a.renewedInStage ? firstTokenCutoffNanos(q, a) + 1 : latePrefillNanos(a);
      case TRANSFER ->
          Math.max(now + DECODE_CHECK_INTERVAL_NANOS / 10, nextTransferCheckNanos(a, now));
      case DECODE -> now + DECODE_CHECK_INTERVAL_NANOS;
    };
  }
}
