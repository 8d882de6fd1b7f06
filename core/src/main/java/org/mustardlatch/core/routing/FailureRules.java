package org.mustardlatch.core.routing;

import org.mustardlatch.core.peer.AdmissionMessage.Outcome;

/** Consequences of a failed upstream call for the work that was sent with it. */
final class FailureRules {
  private FailureRules() {}

  /** Returns whether the upstream may still run the work, so that it must be cancelled. */
  static boolean mayStillRun(Failure failure) {
    return switch (failure) {
      case STALLED, DISCONNECTED, TIMED_OUT -> true;
      case REFUSED, CRASHED, KV_EXPIRED -> false;
    };
  }

  /** Returns whether the upstream certainly did not start the work. */
  static boolean neverStarted(Failure failure) {
    return switch (failure) {
      case REFUSED, KV_EXPIRED -> true;
      case CRASHED, STALLED, DISCONNECTED, TIMED_OUT -> false;
    };
  }

  /** Returns the outcome to report to the admitting node. */
  static Outcome reservationOutcome(Failure failure) {
    return switch (failure) {
      case REFUSED -> Outcome.REFUSED;
      case CRASHED -> Outcome.CRASHED;
      case KV_EXPIRED -> Outcome.CANCELLED;
      case STALLED, DISCONNECTED, TIMED_OUT -> Outcome.FAILED;
    };
  }
}
