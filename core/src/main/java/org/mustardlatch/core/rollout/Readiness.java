package org.mustardlatch.core.rollout;

import java.time.Duration;

/**
 * Whether a fresh node may serve: it has a revision, and it has read the object service or been
 * connected to peers for the time within which an accepted revision reaches every node.
 */
final class Readiness {
  static final long PEERS_ONLY_WAIT = Duration.ofSeconds(4).toNanos();

  private boolean storeRead;
  private boolean peerReported;
  private long highestSinceNanos;
  private long highestRevision;

  void recordStoreRead(long revision) {
    storeRead = true;
    highestRevision = Math.max(highestRevision, revision);
  }

  /** A peer has a revision in force. */
  void recordPeerRevision(long revision, long now) {
    if (!peerReported || revision > highestRevision) {
      peerReported = true;
      highestRevision = Math.max(highestRevision, revision);
      highestSinceNanos = now;
    }
  }

  boolean isReady(long revision, long now) {
    boolean recent = storeRead || (peerReported && now - highestSinceNanos >= PEERS_ONLY_WAIT);
    return revision > 0 && revision >= highestRevision && recent;
  }
}
