package org.mustardlatch.daemon.node;

import java.time.Duration;

/** Lets threads wait until a given revision, or a higher one, has been reached. */
final class RevisionLatch {
  private long highestRevision;

  /** Records that a revision has been reached and wakes the waiting threads. */
  synchronized void advanceTo(long revision) {
    highestRevision = Math.max(highestRevision, revision);
    notifyAll();
  }

  /**
   * Waits for a revision.
   *
   * @return false if the timeout expired or the thread was interrupted first
   */
  synchronized boolean await(long revision, Duration timeout) {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    try {
      while (highestRevision < revision) {
        long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
        if (remainingMillis <= 0) {
          return false;
        }
        wait(remainingMillis);
      }
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
