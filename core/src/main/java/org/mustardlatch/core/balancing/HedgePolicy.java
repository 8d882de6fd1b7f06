package org.mustardlatch.core.balancing;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Decides whether a request that may be repeated is also sent to a second upstream while the first
 * one has not responded. For the load at which most upstreams have room and a few requests wait for
 * one that is slow. The delay before a copy is a percentile of the recent response times of the
 * service, and copies stay within a share of its requests.
 *
 * <p>Deterministic; not thread-safe.
 */
public final class HedgePolicy {
  /** Fewer response times than this say nothing about the slow ones. */
  static final int MIN_SAMPLES = 20;

  /** Response times of the current and the previous window count. */
  static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(15);

  // Share that is not used at once may be used for a burst of slow responses.
  private static final double MAX_SAVED_COPIES = 2;

  // Half of all requests are faster than the delay at least, whatever share is allowed.
  private static final double MIN_PERCENTILE = 50;
  private static final double MAX_PERCENTILE = 99;
  private static final long MAX_RECORDED_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int SIGNIFICANT_DIGITS = 2;

  /** Result of a request for a copy. */
  public enum Decision {
    /** A copy may be sent; it is counted. */
    SEND,
    /** Copies have used the share of the requests that is allowed. */
    SHARE_USED,
    /** No other upstream has a free slot. */
    NO_ROOM
  }

  private final double maxShare;
  private final double percentile;
  private final RetryBudget share;
  private Histogram current = newHistogram();
  private Histogram previous = newHistogram();
  private long windowStartNanos;

  /**
   * Creates a policy without observations.
   *
   * @param maxShare largest number of copies per request to the service, 0 to 1; 0 allows none
   * @param now monotonic time, nanoseconds
   */
  public HedgePolicy(double maxShare, long now) {
    if (!(maxShare >= 0 && maxShare <= 1)) {
      throw new IllegalArgumentException("share of copies must be 0 to 1, got " + maxShare);
    }
    this.maxShare = maxShare;
    this.percentile = Math.clamp(100 * (1 - maxShare), MIN_PERCENTILE, MAX_PERCENTILE);
    this.share = new RetryBudget(0, MAX_SAVED_COPIES);
    this.windowStartNanos = now;
  }

  private static Histogram newHistogram() {
    return new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
  }

  /** Counts a request of a caller to the service. */
  public void requestReceived() {
    share.deposit(maxShare);
  }

  /**
   * Records a response time, or the time after which a request was cancelled because its copy was
   * faster: without these the slow upstreams would be missing.
   *
   * @param nanos time since the request was sent
   * @param now monotonic time, nanoseconds
   */
  public void responseTimeObserved(long nanos, long now) {
    startWindowIfDue(now);
    long micros = TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos));
    current.recordValue(Math.min(MAX_RECORDED_MICROS, micros));
  }

  /**
   * Returns the time after which a copy of a request may be sent, nanoseconds; empty if no copies
   * are allowed or too few response times are known.
   *
   * @param now monotonic time, nanoseconds
   */
  public OptionalLong delayNanos(long now) {
    startWindowIfDue(now);
    if (maxShare == 0 || current.getTotalCount() + previous.getTotalCount() < MIN_SAMPLES) {
      return OptionalLong.empty();
    }
    Histogram both = current.copy();
    both.add(previous);
    return OptionalLong.of(TimeUnit.MICROSECONDS.toNanos(both.getValueAtPercentile(percentile)));
  }

  /**
   * Decides on the copy of a request whose delay has passed, and counts it if it may be sent.
   *
   * @param otherHasRoom whether another upstream is expected to have a free slot
   */
  public Decision requestCopy(boolean otherHasRoom) {
    if (!otherHasRoom) {
      return Decision.NO_ROOM;
    }
    return share.tryAcquire() ? Decision.SEND : Decision.SHARE_USED;
  }

  private void startWindowIfDue(long now) {
    if (now - windowStartNanos < WINDOW_NANOS) {
      return;
    }
    boolean skipped = now - windowStartNanos >= 2 * WINDOW_NANOS;
    previous = skipped ? newHistogram() : current;
    current = newHistogram();
    windowStartNanos = now;
  }
}
