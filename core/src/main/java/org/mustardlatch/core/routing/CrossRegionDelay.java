package org.mustardlatch.core.routing;

import org.mustardlatch.core.model.RegionId;

/**
 * Time that a request loses on its ways when a cell of another region runs it. A remote admitting
 * node does not know of it, so the entry node takes it off the deadline that it sends.
 */
final class CrossRegionDelay {
  // Ask and grant, prefill and its end, decode and first token: six ways, which are three round
  // trips.
  private static final int ROUND_TRIPS = 3;
  private static final long INITIAL_ROUND_TRIP_NANOS = 50_000_000;
  private static final double NEW_SAMPLE_WEIGHT = 0.2;

  private final RegionId region;
  private double roundTripNanos = INITIAL_ROUND_TRIP_NANOS;

  /**
   * Starts without observations.
   *
   * @param region region of this node
   */
  CrossRegionDelay(RegionId region) {
    this.region = region;
  }

  /** Learns from the answer to an ask, which came after the given time. */
  void recordResponse(Cell cell, long nanos) {
    if (!cell.region().equals(region)) {
      roundTripNanos += NEW_SAMPLE_WEIGHT * (nanos - roundTripNanos);
    }
  }

  /** Returns the delay of a request that the cell runs, nanoseconds; 0 within this region. */
  long delayNanos(Cell cell) {
    return cell.region().equals(region) ? 0 : (long) (ROUND_TRIPS * roundTripNanos);
  }
}
