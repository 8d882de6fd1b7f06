package org.mustardlatch.core.balancing;

import org.mustardlatch.core.model.UpstreamId;

/**
 * An upstream that a request may be sent to.
 *
 * @param id the upstream
 * @param slots requests that it works on at a time, at least 1
 * @param roundTripNanos time there and back on the network, nanoseconds
 */
public record Candidate(UpstreamId id, int slots, long roundTripNanos) {
  /** Checks the number of slots. */
  public Candidate {
    if (slots < 1) {
      throw new IllegalArgumentException("slots must be at least 1, got " + slots);
    }
  }
}
