package org.mustardlatch.core.rollout;

import java.time.Duration;

/**
 * Decides whether the configuration of a new node is recent enough to serve requests. The node
 * needs a revision at least as high as every one reported, and must have read the object service or
 * been connected to peers for the time within which an accepted revision reaches every node.
 */
final class Readiness {
  /** Time without a higher reported revision after which peers alone suffice, nanoseconds. */
  static final long PEERS_ONLY_WAIT = Duration.ofSeconds(4).toNanos();

  private boolean storeRead;
  private boolean peerReported;
  private long highestSinceNanos;
  private long highestRevision;

  void recordStoreRead(long revision) {
    storeRead = true;
    highestRevision = Math.max(highestRevision, revision);
  }

  /** Records the active revision that a peer reported. */
  void recordPeerRevision(long revision, long now) {
    if (!peerReported || revision > highestRevision) {
      peerReported = true;
      highestRevision = Math.max(highestRevision, revision);
      highestSinceNanos = now;
    }
  }

  /** Returns whether the node may serve requests with the given active revision. */
  boolean isReady(long revision, long now) {
    boolean recent = storeRead || (peerReported && now - highestSinceNanos >= PEERS_ONLY_WAIT);
    return revision > 0 && revision >= highestRevision && recent;
  }
}
