package org.mustardlatch.core.routing;

import org.mustardlatch.core.manifest.Model;

/** Predicts when a cell has capacity for a request, from its queue and its observed departures. */
final class CapacityForecast {
  // Averages the request size over about the last ten requests.
  private static final double NEWEST_SIZE_WEIGHT = 0.1;
  // Departures per slot and second that are assumed until departures have been observed: a request
  // occupies a slot for about 10 s.
  private static final double INITIAL_DEPARTURES_PER_SLOT = 0.1;

  // Late requests are assumed to get at least this share of the departures. Without it, none would
  // be accepted at the end of a peak, when the grants of the last second are still high.
  private static final double MIN_SPARE_SHARE = 0.1;

  // Standard deviations of the number of running requests for which late requests leave room.
  private static final int RESERVED_DEVIATIONS = 2;

  private final AdmissionQueue queue;
  private final KvTransferLimiter transferLimiter;
  private final DepartureRate departureRate;
  private final DepartureRate onTimeGrantRate = new DepartureRate();
  private Model model;
  private Placer placer;
  // KV memory of prompt and output, averaged over recent requests; 0 before the first one.
  private double averageRequestPieces;

  CapacityForecast(
      AdmissionQueue queue,
      KvTransferLimiter transferLimiter,
      DepartureRate departureRate,
      Model model,
      Placer placer) {
    this.queue = queue;
    this.transferLimiter = transferLimiter;
    this.departureRate = departureRate;
    this.model = model;
    this.placer = placer;
  }

  /** Uses the engines and the model of a changed cell. */
  void cellChanged(Model nextModel, Placer nextPlacer) {
    model = nextModel;
    placer = nextPlacer;
  }

  void requestArrived(ReservationRequest request) {
    int pieces = request.decodeMemoryPieces(model.memoryPieceTokens());
    averageRequestPieces =
        averageRequestPieces == 0
            ? pieces
            : averageRequestPieces + NEWEST_SIZE_WEIGHT * (pieces - averageRequestPieces);
  }

  /** Returns the KV memory of a request as a multiple of the average. */
  double relativeSize(ReservationRequest request) {
    return request.decodeMemoryPieces(model.memoryPieceTokens())
        / Math.max(1, averageRequestPieces);
  }

  /** Returns the number of average-sized requests that fit into free slots and KV memory. */
  int freeDecodeCapacity(long now) {
    return placer.freeDecodeCapacity((int) averageRequestPieces, now);
  }

  /** Returns the number of average-sized requests that fit when the engines are empty. */
  int totalDecodeCapacity(long now) {
    return placer.totalDecodeCapacity((int) averageRequestPieces, now);
  }

  /** Returns the predicted prefill and transfer time on the fastest prefill engine. */
  long shortestServiceNanos(ReservationRequest request) {
    double rate = 0;
    for (EngineState e : placer.prefillEngines()) {
      rate = Math.max(rate, e.upstream.prefillTokensPerSecond() / e.prefillSlowdown.ratio());
    }
    long bytes = model.kvBytesPerToken() * request.promptTokens();
    return (long) (request.promptTokens() * 1e9 / Math.max(1, rate))
        + transferLimiter.predictedTransferNanos(bytes);
  }

  /**
   * Returns the predicted wait of a new request before its prefill if it can be on time,
   * nanoseconds. If no engine can run a prefill, this is {@code Long.MAX_VALUE / 4}, so that sums
   * with it do not overflow.
   */
  long onTimeWaitNanos(ReservationRequest request, long now) {
    AdmissionQueue.Backlog ahead = queue.aheadOf(request);
    // Requests that must be on time come from deployments without ranks and workspaces, for which
    // the whole queue counts as before ranks were read.
    int requests = request.mayBeLate() ? ahead.requests() : queue.size();
    int free = freeDecodeCapacity(now);
    return waitNanos(ahead.promptTokens(), requests, free, departuresPerSecond(now), now);
  }

  /**
   * Returns the predicted wait of a new request that cannot be on time, nanoseconds. It gets only
   * what departures leave after the grants of requests that are on time.
   */
  long lateWaitNanos(ReservationRequest request, long now) {
    AdmissionQueue.Backlog ahead = queue.aheadOfLate(request);
    double all = departuresPerSecond(now);
    double spare = Math.max(MIN_SPARE_SHARE * all, all - onTimeGrantRate.perSecond(now, 0));
    return waitNanos(ahead.promptTokens(), ahead.requests(), lateCapacity(now), spare, now);
  }

  /** Returns the predicted wait behind all requests in the queue, nanoseconds. */
  long totalWaitNanos(long now) {
    AdmissionQueue.Backlog all = queue.all();
    int free = freeDecodeCapacity(now);
    return waitNanos(all.promptTokens(), all.requests(), free, departuresPerSecond(now), now);
  }

  /**
   * Returns the number of average-sized requests that cannot be on time which may be granted now.
   * The number of running requests that are on time has a standard deviation of about its square
   * root, and so much of the free capacity is left for them.
   */
  int lateCapacity(long now) {
    double share = Math.min(1, onTimeGrantRate.perSecond(now, 0) / departuresPerSecond(now));
    return freeDecodeCapacity(now)
        - (int) Math.ceil(RESERVED_DEVIATIONS * Math.sqrt(share * totalDecodeCapacity(now)));
  }

  /** Counts the grant of a request that can be on time. */
  void recordOnTimeGrant(long now) {
    onTimeGrantRate.recordDeparture(now);
  }

  private double departuresPerSecond(long now) {
    double initial = INITIAL_DEPARTURES_PER_SLOT * Math.max(1, totalDecodeCapacity(now));
    return departureRate.perSecond(now, initial);
  }

  private long waitNanos(
      long tokensAhead, int requestsAhead, int free, double slotsPerSecond, long now) {
    double rate = placer.prefillTokensPerNano(now);
    long next = placer.nanosUntilNextPrefill(now);
    if (rate <= 0 || next == Long.MAX_VALUE) {
      return Long.MAX_VALUE / 4;
    }
    long permittedWait = placer.nanosUntilPermitted(queue.size(), now);
    long prefillWait = Math.max(permittedWait, next + (long) (tokensAhead / rate));
    int missingSlots = requestsAhead + 1 - free;
    return missingSlots <= 0
        ? prefillWait
        : Math.max(prefillWait, (long) (missingSlots * 1e9 / slotsPerSecond));
  }
}
