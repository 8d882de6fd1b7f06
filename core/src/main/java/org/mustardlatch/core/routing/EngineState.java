package org.mustardlatch.core.routing;

import java.util.ArrayDeque;
import java.util.List;
import org.mustardlatch.core.manifest.Upstream;

/** The state of one engine on the admitting node: reservations and observed speed. */
final class EngineState {
  // Covers the latency of the grant to the engine and of the report of the end of the prefill.
  // Without it, engines with short prefills would be taken for slow ones.
  private static final long PREFILL_OVERHEAD_NANOS = 4_000_000;

  // Process start, connection set-up and scheduling delay single prefills by tens of milliseconds.
  // Without this allowance, one short prompt made its engine look 20 times too slow.
  private static final long PREFILL_JITTER_NANOS = 50_000_000;
  // A prefill past its predicted end is predicted to last this share of its age longer.
  private static final double OVERDUE_REMAINING_SHARE = 0.3;
  // An engine counts as usable soon if its blockedUntilNanos is at most this far ahead.
  private static final long USABLE_SOON_NANOS = 300_000_000;

  private static final int MIN_PREFIX_BLOCKS = 64;

  // An engine that keeps failing is retried after 1 s, 2 s, 4 s and so on, up to 16 s.
  private static final long FAILURE_BLOCK_NANOS = 1_000_000_000L;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  /** The engine as the active manifest declares it. */
  Upstream upstream;

  final SlowdownEstimate prefillSlowdown = new SlowdownEstimate();
  final SlowdownEstimate transferSlowdown = new SlowdownEstimate();
  final SlowdownEstimate tokenSlowdown = new SlowdownEstimate();
  final PrefixIndex prefixIndex;
  final ProbeLimiter probeLimiter = new ProbeLimiter();

  /** Prefills that were granted and not yet reported as ended, oldest first. */
  final ArrayDeque<Reservation> pendingPrefills = new ArrayDeque<>();

  /** Prefill and decode slots reserved on this engine. */
  int reservedSlots;

  /** KV memory reserved on this engine, pieces. */
  int reservedPieces;

  /** Reservations of requests that are suspected of crashing engines. */
  int suspectCount;

  /** Attempts in progress on the engine that this node has no reservation for. */
  int unreservedAttempts;

  /** Running requests in the last load report; the report lags behind. */
  int reportedRunningRequests;

  /** Decode slots of reservations that this node granted, without adopted ones. */
  int locallyGrantedDecodeSlots;

  /** Monotonic time before which no work is sent, after a crash, failure or refusal. */
  long blockedUntilNanos = Long.MIN_VALUE;

  /** Failures since the engine last finished a prefill or a decode. */
  int failureCount;

  /** Time from which the oldest pending prefill is counted as running. */
  private long headPrefillStartNanos;

  EngineState(Upstream upstream, int pieceTokens) {
    this.upstream = upstream;
    // Cached prefixes are stored in the KV memory of the engine, which bounds their number.
    int blocks = upstream.memoryPieces() * pieceTokens / PrefixIndex.BLOCK_TOKENS;
    this.prefixIndex = new PrefixIndex(Math.max(MIN_PREFIX_BLOCKS, blocks));
  }

  /** Returns whether work can be sent now: the engine is neither leaving nor blocked. */
  boolean isUsable(UnavailableUpstreams unavailableUpstreams, long now) {
    return !upstream.leaving()
        && now >= blockedUntilNanos
        && !unavailableUpstreams.contains(upstream.id(), now);
  }

  /** Returns whether work can be sent now or after a block of at most 300 ms. */
  boolean isUsableSoon(UnavailableUpstreams unavailableUpstreams, long now) {
    return isUsable(
        unavailableUpstreams, Math.max(now, Math.min(blockedUntilNanos, now + USABLE_SOON_NANOS)));
  }

  /** Ensures that the engine gets no new work for at least {@code durationNanos} from now. */
  void blockFor(long now, long durationNanos) {
    blockedUntilNanos = Math.max(blockedUntilNanos, now + durationNanos);
  }

  /**
   * Blocks an engine whose call failed, for longer each time that it is retried. Calls that fail
   * while it is blocked were sent before, and failed together with the first one.
   */
  void blockAfterFailure(long now) {
    failureCount += now >= blockedUntilNanos ? 1 : 0;
    blockFor(now, FAILURE_BLOCK_NANOS << Math.clamp(failureCount - 1, 0, MAX_BACKOFF_DOUBLINGS));
  }

  int freeSlots() {
    return Math.max(0, upstream.slots() - reservedSlots - unreservedAttempts);
  }

  /**
   * Returns the slots that a new admitting node may grant before it has received all reservations
   * of its predecessor: half of the slots that the engine reports as free, less those that this
   * node already granted.
   */
  int freeSlotsInHandover() {
    int half =
        Math.max(0, upstream.slots() - reportedRunningRequests) / 2 - locallyGrantedDecodeSlots;
    return Math.min(half, freeSlots());
  }

  /** Returns how many more requests of {@code pieces} of KV memory the engine can take. */
  int freeCapacityFor(int pieces) {
    int free = freeSlots();
    if (upstream.memoryPieces() == 0) {
      return free;
    }
    return Math.clamp((upstream.memoryPieces() - reservedPieces) / Math.max(1, pieces), 0, free);
  }

  /**
   * Returns how many requests of {@code pieces} of KV memory the empty engine can take. Memory
   * alone never reduces this below one: some requests are smaller than the average.
   */
  int totalCapacityFor(int pieces) {
    int slots = upstream.slots();
    return upstream.memoryPieces() == 0
        ? slots
        : Math.min(slots, Math.max(1, upstream.memoryPieces() / Math.max(1, pieces)));
  }

  /** Returns whether {@code pieces} of KV memory are free, or the engine states no memory size. */
  boolean hasFreeMemory(int pieces) {
    return upstream.memoryPieces() == 0 || reservedPieces + pieces <= upstream.memoryPieces();
  }

  /**
   * Returns the duration of a prefill at the rate that the manifest declares, without the tokens
   * that are probably cached and with the overhead of the messages, nanoseconds.
   */
  long nominalPrefillNanos(int promptTokens, List<Long> prefix) {
    int rate = Math.max(1, upstream.prefillTokensPerSecond());
    int tokens = promptTokens - prefixIndex.cachedTokens(prefix, promptTokens);
    return PREFILL_OVERHEAD_NANOS + (long) (tokens * 1e9 / rate);
  }

  /** Adds a granted prefill behind the pending ones. */
  void prefillGranted(Reservation r, long now) {
    if (pendingPrefills.isEmpty()) {
      headPrefillStartNanos = now;
    }
    pendingPrefills.add(r);
  }

  /**
   * Removes a prefill. Updates the slowdown estimate if the prefill finished, or if it was
   * abandoned after its predicted end.
   */
  void prefillEnded(Reservation r, long now, boolean finished) {
    boolean first = pendingPrefills.peek() == r;
    if (pendingPrefills.remove(r) && first) {
      long age = now - headPrefillStartNanos;
      if (finished || age > r.nominalPrefillNanos * prefillSlowdown.ratio()) {
        prefillSlowdown.observe(subtractJitter(age, r.nominalPrefillNanos), r.nominalPrefillNanos);
      }
    }
    if (first) {
      headPrefillStartNanos = now;
    }
  }

  /** Returns the prefill slowdown; a prefill in progress past its predicted end raises it. */
  double currentPrefillSlowdown(long now) {
    Reservation first = pendingPrefills.peek();
    if (first == null) {
      return prefillSlowdown.ratio();
    }
    long age = subtractJitter(now - headPrefillStartNanos, first.nominalPrefillNanos);
    return Math.max(prefillSlowdown.ratio(), (double) age / first.nominalPrefillNanos);
  }

  /** Subtracts the jitter allowance from the part of a duration beyond the nominal one. */
  private static long subtractJitter(long durationNanos, long nominalNanos) {
    long excess = durationNanos - nominalNanos;
    return excess <= 0 ? durationNanos : nominalNanos + Math.max(0, excess - PREFILL_JITTER_NANOS);
  }

  /** Returns the predicted time until the prefills granted so far have ended, nanoseconds. */
  long prefillBacklogNanos(long now) {
    long sum = 0;
    double slowdown = prefillSlowdown.ratio();
    boolean first = true;
    for (Reservation r : pendingPrefills) {
      double predicted = r.nominalPrefillNanos * slowdown;
      if (first) {
        long age = now - headPrefillStartNanos;
        sum +=
            (long) Math.max(predicted - age, age > predicted ? age * OVERDUE_REMAINING_SHARE : 0);
        first = false;
      } else {
        sum += (long) predicted;
      }
    }
    return sum;
  }
}
