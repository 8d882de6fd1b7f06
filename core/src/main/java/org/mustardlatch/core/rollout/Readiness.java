package org.mustardlatch.core.rollout;

import java.time.Duration;

/**
 * Whether a fresh node may serve: it has a revision, and it has read the object service or been
 * connected to peers for the time within which an accepted revision reaches every node.
 */
final class Readiness {
  static final long PEERS_ONLY_WAIT = Duration.ofSeconds(4).toNanos();

  private boolean storeRead;
  private boolean contact;
  private long quietSinceNanos;
  private long highest;

  void storeRead(long revision) {
    storeRead = true;
    highest = Math.max(highest, revision);
  }

  /** A peer has a revision in force. */
  void heard(long revision, long now) {
    if (!contact || revision > highest) {
      contact = true;
      highest = Math.max(highest, revision);
      quietSinceNanos = now;
    }
  }

  boolean ready(long revision, long now) {
    boolean recent = storeRead || (contact && now - quietSinceNanos >= PEERS_ONLY_WAIT);
    return revision > 0 && revision >= highest && recent;
  }
}
