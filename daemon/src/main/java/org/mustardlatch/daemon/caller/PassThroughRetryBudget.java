package org.mustardlatch.daemon.caller;

/**
 * Limits retries of pass-through requests to a fraction of the first attempts, so that retries
 * cannot multiply the load of overloaded or failing services. Safe for use by several threads.
 */
final class PassThroughRetryBudget {
  /** Largest number of retries that the budget can accumulate, and its initial balance. */
  private static final double MAX_BALANCE = 10;

  private double balance = MAX_BALANCE;

  /** Records a first attempt, which adds the given fraction of a retry to the budget. */
  synchronized void deposit(double fraction) {
    balance = Math.min(MAX_BALANCE, balance + fraction);
  }

  /** Acquires one retry; returns false if the budget is empty. */
  synchronized boolean tryAcquire() {
    if (balance < 1) {
      return false;
    }
    balance--;
    return true;
  }
}
