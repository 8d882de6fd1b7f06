package org.mustardlatch.core.routing;

import java.util.ArrayDeque;
import java.util.List;
import org.mustardlatch.core.manifest.Upstream;

/** What an admitting node knows about one engine: what it reserved there and how fast it is. */
final class EngineState {
  // Covers the way of the grant to the engine and of the news of its end back; without it short
  // prefills would look like stragglers.
  private static final long PREFILL_OVERHEAD_NANOS = 4_000_000;

  // Start of a process, connection set-up and scheduling make single prefills late by tens of
  // milliseconds. Without the allowance one short prompt made its engine look 20 times too slow.
  private static final long PREFILL_JITTER_NANOS = 50_000_000;
  // A prefill past its predicted end is expected to take this share of its age on top.
  private static final double OVERDUE_REMAINING_SHARE = 0.3;
  private static final long SHORT_BLOCK_NANOS = 300_000_000;

  private static final int MIN_PREFIX_BLOCKS = 64;

  /** The engine as the manifest in force states it. */
  Upstream upstream;

  final SlowdownEstimate prefillSlowdown = new SlowdownEstimate();
  final SlowdownEstimate transferSlowdown = new SlowdownEstimate();
  final SlowdownEstimate tokenSlowdown = new SlowdownEstimate();
  final PrefixIndex prefixIndex;
  final ProbeLimiter probeLimiter = new ProbeLimiter();

  /** Prefills granted and not known to have ended, oldest first. */
  final ArrayDeque<Reservation> pendingPrefills = new ArrayDeque<>();

  int reservedSlots;
  int reservedPieces;
  int suspectCount;

  /** Attempts that the engine holds for nodes that did not tell this one. */
  int unreservedAttempts;

  int reportedRunningRequests;

  /** Decode slots of reservations that this node granted itself. */
  int locallyGrantedDecodeSlots;

  /** Time before which no work is sent, after a crash or a refusal. */
  long blockedUntilNanos = Long.MIN_VALUE;

  /** Failures since the engine last finished something. */
  int consecutiveFailures;

  private long headPrefillStartNanos;

  EngineState(Upstream upstream, int pieceTokens) {
    this.upstream = upstream;
    // Cached prefixes lie in the KV memory of the engine, so they can't be more than it holds.
    int blocks = upstream.memoryPieces() * pieceTokens / PrefixIndex.BLOCK_TOKENS;
    this.prefixIndex = new PrefixIndex(Math.max(MIN_PREFIX_BLOCKS, blocks));
  }

  boolean isUsable(LeavingUpstreams leaving, long now) {
    return !upstream.leaving() && now >= blockedUntilNanos && !leaving.contains(upstream.id(), now);
  }

  /** Returns whether work can be sent now or after a short block, such as after a refusal. */
  boolean isUsableSoon(LeavingUpstreams leaving, long now) {
    return isUsable(leaving, Math.max(now, Math.min(blockedUntilNanos, now + SHORT_BLOCK_NANOS)));
  }

  /** Sends no work for a while. */
  void blockFor(long now, long durationNanos) {
    blockedUntilNanos = Math.max(blockedUntilNanos, now + durationNanos);
  }

  int freeSlots() {
    return Math.max(0, upstream.slots() - reservedSlots - unreservedAttempts);
  }

  /**
   * Returns the slots that a new admitting node may grant before it has heard of all reservations
   * of its predecessor: half of those that the engine reports as free.
   */
  int freeSlotsInHandover() {
    int half =
        Math.max(0, upstream.slots() - reportedRunningRequests) / 2 - locallyGrantedDecodeSlots;
    return Math.min(half, freeSlots());
  }

  /** Returns how many more requests of {@code pieces} of KV memory it has room for. */
  int freeCapacityFor(int pieces) {
    int free = freeSlots();
    if (upstream.memoryPieces() == 0) {
      return free;
    }
    return Math.clamp((upstream.memoryPieces() - reservedPieces) / Math.max(1, pieces), 0, free);
  }

  /**
   * Returns how many requests of {@code pieces} of KV memory it holds when empty. Memory counts as
   * room for one at least: some requests are smaller than the usual one.
   */
  int totalCapacityFor(int pieces) {
    int slots = upstream.slots();
    return upstream.memoryPieces() == 0
        ? slots
        : Math.min(slots, Math.max(1, upstream.memoryPieces() / Math.max(1, pieces)));
  }

  boolean hasFreeMemory(int pieces) {
    return upstream.memoryPieces() == 0 || reservedPieces + pieces <= upstream.memoryPieces();
  }

  /** Returns the duration of a prefill at the rate that the manifest states, nanoseconds. */
  long nominalPrefillNanos(int promptTokens, List<Long> prefix) {
    int rate = Math.max(1, upstream.prefillTokensPerSecond());
    int tokens = promptTokens - prefixIndex.cachedTokens(prefix, promptTokens);
    return PREFILL_OVERHEAD_NANOS + (long) (tokens * 1e9 / rate);
  }

  void prefillGranted(Reservation r, long now) {
    if (pendingPrefills.isEmpty()) {
      headPrefillStartNanos = now;
    }
    pendingPrefills.add(r);
  }

  /**
   * Takes a prefill off the engine. A finished one tells how fast the engine is, and so does one
   * that was given up after its predicted end.
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

  /** Returns the pace of prefills with the age of the one in progress taken into account. */
  double currentPrefillSlowdown(long now) {
    Reservation first = pendingPrefills.peek();
    if (first == null) {
      return prefillSlowdown.ratio();
    }
    long age = subtractJitter(now - headPrefillStartNanos, first.nominalPrefillNanos);
    return Math.max(prefillSlowdown.ratio(), (double) age / first.nominalPrefillNanos);
  }

  /** Takes up to the usual noise off the part of a duration that exceeds the nominal one. */
  private static long subtractJitter(long durationNanos, long nominalNanos) {
    long excess = durationNanos - nominalNanos;
    return excess <= 0 ? durationNanos : nominalNanos + Math.max(0, excess - PREFILL_JITTER_NANOS);
  }

  /** Returns the predicted time until the prefills granted so far have ended, nanoseconds. */
  long prefillBacklogNanos(long now) {
    long sum = 0;
    double pace = prefillSlowdown.ratio();
    boolean first = true;
    for (Reservation r : pendingPrefills) {
      double predicted = r.nominalPrefillNanos * pace;
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
