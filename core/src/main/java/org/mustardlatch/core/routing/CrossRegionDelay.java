package org.mustardlatch.core.routing;

import org.mustardlatch.core.model.RegionId;

/**
 * Estimated network delay of a request that a cell of another region runs. The remote admitting
 * node cannot account for this delay, so the entry node subtracts it from the deadline that it
 * sends.
 */
final class CrossRegionDelay {
  // Reservation request and grant, prefill call and its end, decode call and first token: six
  // one-way trips, which are three round trips.
  private static final int ROUND_TRIPS = 3;
  private static final long INITIAL_ROUND_TRIP_NANOS = 50_000_000;
  private static final double NEW_SAMPLE_WEIGHT = 0.2;

  private final RegionId region;
  private double roundTripNanos = INITIAL_ROUND_TRIP_NANOS;

  /**
   * Creates an estimate without observations.
   *
   * @param region region of this node
   */
  CrossRegionDelay(RegionId region) {
    this.region = region;
  }

  /**
   * Updates the estimate from the response to a reservation request.
   *
   * @param cell cell of the reservation request
   * @param responseNanos time from the request to its response
   */
  void recordResponse(Cell cell, long responseNanos) {
    if (!cell.region().equals(region)) {
      roundTripNanos += NEW_SAMPLE_WEIGHT * (responseNanos - roundTripNanos);
    }
  }

  /**
   * Returns the delay of a request that the cell runs, nanoseconds; 0 for a cell of this region.
   */
  long delayNanos(Cell cell) {
    return cell.region().equals(region) ? 0 : (long) (ROUND_TRIPS * roundTripNanos);
  }
}
