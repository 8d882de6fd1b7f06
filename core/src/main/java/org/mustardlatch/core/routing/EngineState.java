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
  private static final long PREFILL_NOISE_NANOS = 50_000_000;
  // A prefill past its predicted end is expected to take this share of its age on top.
  private static final double OVERDUE_SHARE = 0.3;
  private static final long SOON_NANOS = 300_000_000;

  private static final int MIN_PREFIX_BLOCKS = 64;

  /** The engine as the manifest in force states it. */
  Upstream upstream;

  final Pace prefillPace = new Pace();
  final Pace transferPace = new Pace();
  final Pace tokenPace = new Pace();
  final PrefixIndex prefixes;
  final ProbeGate probes = new ProbeGate();

  /** Prefills granted and not known to have ended, oldest first. */
  final ArrayDeque<Reservation> prefilling = new ArrayDeque<>();

  int heldSlots;
  int heldPieces;
  int suspects;

  /** Attempts that the engine holds for nodes that did not tell this one. */
  int unaccounted;

  int reportedRunning;

  /** Decode slots of reservations that this node granted itself. */
  int grantedSlots;

  /** Time before which no work is sent, after a crash or a refusal. */
  long blockedUntilNanos = Long.MIN_VALUE;

  /** Failures since the engine last finished something. */
  int failures;

  private long prefillServingSinceNanos;

  EngineState(Upstream upstream, int pieceTokens) {
    this.upstream = upstream;
    // Cached prefixes lie in the KV memory of the engine, so they can't be more than it holds.
    int blocks = upstream.memoryPieces() * pieceTokens / PrefixIndex.BLOCK_TOKENS;
    this.prefixes = new PrefixIndex(Math.max(MIN_PREFIX_BLOCKS, blocks));
  }

  boolean usable(LeavingUpstreams leaving, long now) {
    return !upstream.leaving() && now >= blockedUntilNanos && !leaving.contains(upstream.id(), now);
  }

  /** Returns whether work can be sent now or after a short block, such as after a refusal. */
  boolean usableSoon(LeavingUpstreams leaving, long now) {
    return usable(leaving, Math.max(now, Math.min(blockedUntilNanos, now + SOON_NANOS)));
  }

  /** Sends no work for a while. */
  void block(long now, long durationNanos) {
    blockedUntilNanos = Math.max(blockedUntilNanos, now + durationNanos);
  }

  int freeSlots() {
    return Math.max(0, upstream.slots() - heldSlots - unaccounted);
  }

  /**
   * Returns the slots that a new admitting node may grant before it has heard of all reservations
   * of its predecessor: half of those that the engine reports as free.
   */
  int freeSlotsInHandover() {
    int half = Math.max(0, upstream.slots() - reportedRunning) / 2 - grantedSlots;
    return Math.min(half, freeSlots());
  }

  /** Returns how many more requests of {@code pieces} of KV memory it has room for. */
  int freeFor(int pieces) {
    int free = freeSlots();
    if (upstream.memoryPieces() == 0) {
      return free;
    }
    return Math.clamp((upstream.memoryPieces() - heldPieces) / Math.max(1, pieces), 0, free);
  }

  /**
   * Returns how many requests of {@code pieces} of KV memory it holds when empty. Memory counts as
   * room for one at least: some requests are smaller than the usual one.
   */
  int capacityFor(int pieces) {
    int slots = upstream.slots();
    return upstream.memoryPieces() == 0
        ? slots
        : Math.min(slots, Math.max(1, upstream.memoryPieces() / Math.max(1, pieces)));
  }

  boolean hasMemory(int pieces) {
    return upstream.memoryPieces() == 0 || heldPieces + pieces <= upstream.memoryPieces();
  }

  /** Returns the duration of a prefill at the rate that the manifest states, nanoseconds. */
  long nominalPrefillNanos(int promptTokens, List<Long> prefix) {
    int rate = Math.max(1, upstream.prefillTokensPerSecond());
    int tokens = promptTokens - prefixes.cachedTokens(prefix, promptTokens);
    return PREFILL_OVERHEAD_NANOS + (long) (tokens * 1e9 / rate);
  }

  void prefillGranted(Reservation r, long now) {
    if (prefilling.isEmpty()) {
      prefillServingSinceNanos = now;
    }
    prefilling.add(r);
  }

  /**
   * Takes a prefill off the engine. A finished one tells how fast the engine is, and so does one
   * that was given up after its predicted end.
   */
  void prefillEnded(Reservation r, long now, boolean finished) {
    boolean first = prefilling.peek() == r;
    if (prefilling.remove(r) && first) {
      long age = now - prefillServingSinceNanos;
      if (finished || age > r.nominalNanos * prefillPace.ratio()) {
        prefillPace.observe(withoutNoise(age, r.nominalNanos), r.nominalNanos);
      }
    }
    if (first) {
      prefillServingSinceNanos = now;
    }
  }

  /** Returns the pace of prefills with the age of the one in progress taken into account. */
  double prefillRatio(long now) {
    Reservation first = prefilling.peek();
    if (first == null) {
      return prefillPace.ratio();
    }
    long age = withoutNoise(now - prefillServingSinceNanos, first.nominalNanos);
    return Math.max(prefillPace.ratio(), (double) age / first.nominalNanos);
  }

  /** Takes up to the usual noise off the part of a duration that exceeds the nominal one. */
  private static long withoutNoise(long durationNanos, long nominalNanos) {
    long excess = durationNanos - nominalNanos;
    return excess <= 0 ? durationNanos : nominalNanos + Math.max(0, excess - PREFILL_NOISE_NANOS);
  }

  /** Returns the predicted time until the prefills granted so far have ended, nanoseconds. */
  long backlogNanos(long now) {
    long sum = 0;
    double pace = prefillPace.ratio();
    boolean first = true;
    for (Reservation r : prefilling) {
      double predicted = r.nominalNanos * pace;
      if (first) {
        long age = now - prefillServingSinceNanos;
        sum += (long) Math.max(predicted - age, age > predicted ? age * OVERDUE_SHARE : 0);
        first = false;
      } else {
        sum += (long) predicted;
      }
    }
    return sum;
  }
}
