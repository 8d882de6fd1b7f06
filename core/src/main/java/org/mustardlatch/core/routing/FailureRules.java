package org.mustardlatch.core.routing;

import org.mustardlatch.core.peer.AdmissionMessage.Outcome;

/** What the failure of an upstream call means for the work that it was sent. */
final class FailureRules {
  private FailureRules() {}

  /** Returns whether the upstream may still hold the work, so that it must be cancelled. */
  static boolean mayStillRun(Failure failure) {
    return switch (failure) {
      case STALLED, DISCONNECTED, TIMED_OUT -> true;
      case REFUSED, CRASHED, KV_EXPIRED -> false;
    };
  }

  /** Returns whether the upstream certainly did not begin the work that failed. */
  static boolean neverStarted(Failure failure) {
    return switch (failure) {
      case REFUSED, KV_EXPIRED -> true;
      case CRASHED, STALLED, DISCONNECTED, TIMED_OUT -> false;
    };
  }

  /** Returns the outcome that the admitting node is told. */
  static Outcome reservationOutcome(Failure failure) {
    return switch (failure) {
      case REFUSED -> Outcome.REFUSED;
      case CRASHED -> Outcome.CRASHED;
      case KV_EXPIRED -> Outcome.CANCELLED;
      case STALLED, DISCONNECTED, TIMED_OUT -> Outcome.FAILED;
    };
  }
}
