package org.mustardlatch.daemon.node;

import java.time.Duration;

/** Waits until a revision or a later one is reached. */
final class RevisionLatch {
  private long highestRevision;

  synchronized void advanceTo(long revision) {
    highestRevision = Math.max(highestRevision, revision);
    notifyAll();
  }

  /** Returns whether the revision was reached within the bound. */
  synchronized boolean await(long revision, Duration bound) {
    long endNanos = System.nanoTime() + bound.toNanos();
    try {
      while (highestRevision < revision) {
        long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
        if (leftMillis <= 0) {
          return false;
        }
        wait(leftMillis);
      }
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
