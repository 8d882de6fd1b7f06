package org.mustardlatch.daemon.caller;

/**
 * Limits retries to a share of first attempts, so that retries can't multiply the load of services
 * that are in trouble.
 */
final class RetryAllowance {
  private static final double MAX_SAVED = 10;

  private double saved = MAX_SAVED;

  /** Records a first attempt. */
  synchronized void firstAttempt(double fraction) {
    saved = Math.min(MAX_SAVED, saved + fraction);
  }

  /** Takes one retry; returns false when the share is used up. */
  synchronized boolean take() {
    if (saved < 1) {
      return false;
    }
    saved--;
    return true;
  }
}
