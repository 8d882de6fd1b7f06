package org.mustardlatch.daemon.caller;

/**
 * Limits retries to a share of first attempts, so that retries can't multiply the load of services
 * that are in trouble.
 */
final class PassThroughRetryBudget {
  private static final double MAX_BALANCE = 10;

  private double balance = MAX_BALANCE;

  /** Records a first attempt. */
  synchronized void deposit(double fraction) {
    balance = Math.min(MAX_BALANCE, balance + fraction);
  }

  /** Takes one retry; returns false when the share is used up. */
  synchronized boolean tryAcquire() {
    if (balance < 1) {
      return false;
    }
    balance--;
    return true;
  }
}
