package org.mustardlatch.core.balancing;

import org.mustardlatch.core.model.UpstreamId;

/**
 * Upstream to which a request may be sent.
 *
 * @param id the upstream
 * @param slots requests that it processes concurrently, at least 1
 * @param roundTripNanos network round-trip time, nanoseconds
 */
public record Candidate(UpstreamId id, int slots, long roundTripNanos) {
  /** Checks the number of slots. */
  public Candidate {
    if (slots < 1) {
      throw new IllegalArgumentException("slots must be at least 1, got " + slots);
    }
  }
}
