package org.mustardlatch.core.routing;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.core.model.WorkspaceId;

/** Predicts when a cell has capacity for a request, from its queue and its observed departures. */
final class CapacityForecast {
  // Averages the request size over about the last ten requests.
  private static final double NEWEST_SIZE_WEIGHT = 0.1;
  // Departures per slot and second that are assumed until departures have been observed: a request
  // occupies a slot for about 10 s.
  private static final double INITIAL_DEPARTURES_PER_SLOT = 0.1;

  private final FairQueue queue;
  private final KvTransferLimiter transferLimiter;
  private final DepartureRate departureRate;
  private Model model;
  private Placer placer;
  // KV memory of prompt and output, averaged over recent requests; 0 before the first one.
  private double averageRequestPieces;

  CapacityForecast(
      FairQueue queue,
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
   * Returns the predicted wait of a request before its prefill, nanoseconds. If no engine can run a
   * prefill, this is {@code Long.MAX_VALUE / 4}, so that sums with it do not overflow.
   *
   * @param request null for a request behind all those in the queue
   */
  long estimateWaitNanos(@Nullable ReservationRequest request, long now) {
    WorkspaceId workspace = request == null ? null : request.workspace();
    long tokens =
        workspace == null ? queue.queuedPromptTokens() : queue.promptTokensAhead(workspace);
    double rate = placer.prefillTokensPerNano(now);
    long next = placer.nanosUntilNextPrefill(now);
    if (rate <= 0 || next == Long.MAX_VALUE) {
      return Long.MAX_VALUE / 4;
    }
    long permittedWait = placer.nanosUntilPermitted(queue.size(), now);
    long prefillWait = Math.max(permittedWait, next + (long) (tokens / rate));
    int missingSlots = queue.size() + 1 - freeDecodeCapacity(now);
    if (missingSlots <= 0) {
      return prefillWait;
    }
    double initial = INITIAL_DEPARTURES_PER_SLOT * Math.max(1, totalDecodeCapacity(now));
    return Math.max(
        prefillWait, (long) (missingSlots * 1e9 / departureRate.perSecond(now, initial)));
  }
}
