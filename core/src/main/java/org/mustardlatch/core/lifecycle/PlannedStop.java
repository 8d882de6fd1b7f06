package org.mustardlatch.core.lifecycle;

import java.time.Duration;

/**
 * The planned stop of a node: which requests it still takes, and when it closes connections and
 * ends. The node moves through the phases by time; it may end as soon as it is {@link
 * Phase#FINISHING} and has no connection left.
 *
 * <p>Times are monotonic nanoseconds. Not thread-safe.
 */
public final class PlannedStop {
  /** Phases in the order in which a node passes through them. */
  public enum Phase {
    /** No stop was requested. */
    SERVING,
    /**
     * The readiness check fails. Everything is accepted, since callers connect until the load
     * balancer has noticed; each response closes its connection.
     */
    WITHDRAWING,
    /**
     * No connection is accepted and idle ones are closed. Requests that are received now are
     * accepted only if they end in time.
     */
    FINISHING,
    /** Requests without a response get an error, streams are broken off, and the process ends. */
    ENDING
  }

  private final Duration noticeTime;
  private final Duration finishTime;
  private boolean requested;
  private long requestedNanos;

  /**
   * Creates a stop that has not been requested.
   *
   * @param noticeTime time after which the load balancer sends no more connections, at least 0
   * @param finishTime time after which no request may be in progress; not less than the notice time
   */
  public PlannedStop(Duration noticeTime, Duration finishTime) {
    if (noticeTime.isNegative() || finishTime.compareTo(noticeTime) < 0) {
      throw new IllegalArgumentException(
          "notice time " + noticeTime + " must be between 0 and the finish time " + finishTime);
    }
    this.noticeTime = noticeTime;
    this.finishTime = finishTime;
  }

  /**
   * Requests the stop.
   *
   * @return whether it was not requested before
   */
  public boolean request(long now) {
    if (requested) {
      return false;
    }
    requested = true;
    requestedNanos = now;
    return true;
  }

  /** Returns whether the stop was requested. */
  public boolean requested() {
    return requested;
  }

  /** Returns the phase at a time. */
  public Phase phase(long now) {
    if (!requested) {
      return Phase.SERVING;
    }
    long elapsed = now - requestedNanos;
    if (elapsed < noticeTime.toNanos()) {
      return Phase.WITHDRAWING;
    }
    return elapsed < finishTime.toNanos() ? Phase.FINISHING : Phase.ENDING;
  }

  /**
   * Returns whether a request that has just been received is accepted. One that is not must be
   * refused as not executed, so that its caller can send it to another node.
   *
   * @param deadlineNanos time at which its caller no longer waits
   */
  public boolean accepts(long now, long deadlineNanos) {
    return switch (phase(now)) {
      case SERVING, WITHDRAWING -> true;
      case FINISHING, ENDING -> endsInTime(now, deadlineNanos);
    };
  }

  /**
   * Returns whether a request ends before the stop does, however long it takes. On a connection
   * that is about to be closed only such requests are accepted: its caller gets another node by
   * connecting again, while callers with a new connection might get this node a second time.
   *
   * @param deadlineNanos time at which its caller no longer waits
   */
  public boolean endsInTime(long now, long deadlineNanos) {
    return switch (phase(now)) {
      case SERVING -> true;
      case WITHDRAWING, FINISHING -> deadlineNanos - requestedNanos <= finishTime.toNanos();
      case ENDING -> false;
    };
  }
}
