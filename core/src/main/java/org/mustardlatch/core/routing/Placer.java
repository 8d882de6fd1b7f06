package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.UpstreamRole;

/** Chooses the engines of a reservation by predicted first token. */
final class Placer {
  // The next prefill is sent to an engine this long before the current one ends, which covers the
  // way of the news and of the grant. More would bind requests to an engine that may slow down.
  static final long LOOKAHEAD_NANOS = 30_000_000;
  private static final double SLOW_ENGINE_RATIO = 3;
  private static final double MAX_NORMAL_RATIO = 1.5;
  private static final double PROBE_BUDGET_SHARE = 0.2;
  // Links between availability zones carry a KV cache at about half the rate of those within one.
  private static final long CROSS_ZONE_PENALTY_NANOS = 10_000_000;
  // A single slow transfer must not make an engine look useless for all requests.
  private static final double MAX_TRANSFER_SLOWDOWN = 3;
  // Share of the time left that the first token may take on an engine that looks slow; the rest is
  // for an estimate that is too low.
  private static final double SLOW_ENGINE_BUDGET_SHARE = 0.6;
  private static final long MAX_MEDIAN_AGE_NANOS = 50_000_000;

  private final Cell cell;
  private final int pieceTokens;
  private final LeavingUpstreams leavingUpstreams;
  private final List<EngineState> prefillEngines = new ArrayList<>();
  private final List<EngineState> decodeEngines = new ArrayList<>();
  private double medianPrefillSlowdown = 1;
  private double medianTokenSlowdown = 1;
  private double medianTransferSlowdown = 1;
  private long mediansComputedNanos = Long.MIN_VALUE;

  /**
   * A choice of engines.
   *
   * @param prefillEngine null when the KV cache exists already
   * @param nominalPrefillNanos duration of the prefill at the rate of the manifest
   * @param firstTokenNanos predicted time from now to the first token
   */
  record Placement(
      @Nullable EngineState prefillEngine,
      EngineState decodeEngine,
      long nominalPrefillNanos,
      long prefillEndNanos,
      long firstTokenNanos) {}

  Placer(Cell cell, Iterable<EngineState> engines, LeavingUpstreams leaving) {
    this.cell = cell;
    this.pieceTokens = cell.model().memoryPieceTokens();
    this.leavingUpstreams = leaving;
    for (EngineState e : engines) {
      if (e.upstream.role().prefills()) {
        prefillEngines.add(e);
      }
      if (e.upstream.role().decodes()) {
        decodeEngines.add(e);
      }
    }
  }

  List<EngineState> prefillEngines() {
    return prefillEngines;
  }

  List<EngineState> decodeEngines() {
    return decodeEngines;
  }

  /** Returns whether some prefill engine and some decode engine have room, cheaply. */
  boolean mayHaveCapacity(long now) {
    for (EngineState d : decodeEngines) {
      if (d.freeSlots() > 0 && d.isUsable(leavingUpstreams, now)) {
        if (d.upstream.role() == UpstreamRole.DECODE_WITH_PROMPT) {
          return true;
        }
        for (EngineState p : prefillEngines) {
          if (p.freeSlots() > 0
              && p.prefillBacklogNanos(now) <= LOOKAHEAD_NANOS
              && p.isUsable(leavingUpstreams, now)) {
            return true;
          }
        }
        return false;
      }
    }
    return false;
  }

  /** Returns the best choice that has room now, or null. */
  @Nullable Placement place(
      ReservationRequest request,
      boolean suspect,
      KvTransferLimiter link,
      boolean handover,
      long now) {
    refreshMedians(now);
    if (request.kvSource() != null) {
      EngineState d = selectDecodeEngine(request, null, 0, suspect, link, handover, now);
      return d == null ? null : new Placement(null, d, 0, 0, transferNanosTo(request, d, link));
    }
    Placement split = placeSplit(request, suspect, link, handover, now);
    return split != null ? split : placeOnDecodeEngine(request, suspect, link, handover, now);
  }

  /**
   * Returns a decode engine that processes the prompt itself, or null. Every other stream of that
   * engine pauses meanwhile, so it is chosen only where no prefill engine can be used.
   */
  private @Nullable Placement placeOnDecodeEngine(
      ReservationRequest request,
      boolean suspect,
      KvTransferLimiter link,
      boolean handover,
      long now) {
    EngineState d = selectDecodeEngine(request, null, 0, suspect, link, handover, now);
    if (d == null
        || d.upstream.role() != UpstreamRole.DECODE_WITH_PROMPT
        || prefillEngines.stream().anyMatch(e -> e.isUsableSoon(leavingUpstreams, now))) {
      return null;
    }
    long nominal = d.nominalPrefillNanos(request.promptTokens(), request.prefixBlocks());
    long finish = d.prefillBacklogNanos(now) + nominal;
    return new Placement(d, d, nominal, finish, finish);
  }

  private @Nullable Placement placeSplit(
      ReservationRequest request,
      boolean suspect,
      KvTransferLimiter link,
      boolean handover,
      long now) {
    EngineState best = null;
    double bestFinish = Double.MAX_VALUE;
    long bestNominal = 0;
    double waiting = -1;
    for (EngineState e : prefillEngines) {
      if (!canTakePrefill(e, request, suspect, now)) {
        continue;
      }
      long nominal = e.nominalPrefillNanos(request.promptTokens(), request.prefixBlocks());
      double ratio = e.currentPrefillSlowdown(now);
      double finish = e.prefillBacklogNanos(now) + nominal * ratio;
      if (isSlow(ratio, medianPrefillSlowdown) && isProbe(e, request, ratio, nominal, now)) {
        finish = 0;
      } else if (ratio > MAX_NORMAL_RATIO * medianPrefillSlowdown) {
        waiting = waiting < 0 ? prefillEndAfterWaiting(request, now) : waiting;
        if (finish > waiting) {
          continue;
        }
      }
      if (finish < bestFinish) {
        best = e;
        bestFinish = finish;
        bestNominal = nominal;
      }
    }
    if (best == null) {
      return null;
    }
    long finish =
        best.prefillBacklogNanos(now) + (long) (bestNominal * best.currentPrefillSlowdown(now));
    EngineState d = selectDecodeEngine(request, best, finish, suspect, link, handover, now);
    if (d == null) {
      return null;
    }
    long first = finish + (d == best ? 0 : transferNanosTo(request, d, link));
    return new Placement(best, d, bestNominal, finish, first);
  }

  /** Returns whether an engine failed this request, unless every usable one of its pool did. */
  private boolean isExcluded(
      EngineState e, ReservationRequest request, List<EngineState> pool, long now) {
    if (!request.excludedUpstreams().contains(e.upstream.id())) {
      return false;
    }
    for (EngineState other : pool) {
      if (other.isUsable(leavingUpstreams, now)
          && !request.excludedUpstreams().contains(other.upstream.id())) {
        return true;
      }
    }
    return false;
  }

  private boolean canTakePrefill(
      EngineState e, ReservationRequest request, boolean suspect, long now) {
    if (!e.isUsable(leavingUpstreams, now) || isExcluded(e, request, prefillEngines, now)) {
      return false;
    }
    if (e.freeSlots() == 0
        || !e.hasFreeMemory(request.prefillMemoryPieces(pieceTokens))
        || (suspect && e.suspectCount > 0)) {
      return false;
    }
    return e.prefillBacklogNanos(now) <= LOOKAHEAD_NANOS;
  }

  /** Returns the predicted end of the prefill if it waits for an engine of normal speed. */
  private double prefillEndAfterWaiting(ReservationRequest request, long now) {
    double best = Double.MAX_VALUE;
    for (EngineState e : prefillEngines) {
      double ratio = e.currentPrefillSlowdown(now);
      if (e.isUsable(leavingUpstreams, now) && ratio <= MAX_NORMAL_RATIO * medianPrefillSlowdown) {
        long nominal = e.nominalPrefillNanos(request.promptTokens(), request.prefixBlocks());
        best = Math.min(best, e.prefillBacklogNanos(now) + nominal * ratio);
      }
    }
    return best;
  }

  /**
   * Returns whether a request is to probe this straggler and meets its deadline there with ease.
   */
  private static boolean isProbe(
      EngineState e, ReservationRequest request, double ratio, long nominal, long now) {
    return e.pendingPrefills.isEmpty()
        && nominal * ratio <= PROBE_BUDGET_SHARE * request.budgetNanos()
        && e.probeLimiter.mayProbe(now);
  }

  /**
   * Returns the best decode engine that has room, or null. An engine that looks slow takes part as
   * a probe, or when no other has room and the first token is in time there nevertheless: slow
   * transfers are often seen because the engine was busy with a prompt for a moment.
   *
   * @param readyNanos predicted time from now until the KV cache exists
   */
  private @Nullable EngineState selectDecodeEngine(
      ReservationRequest request,
      @Nullable EngineState prefill,
      long readyNanos,
      boolean suspect,
      KvTransferLimiter link,
      boolean handover,
      long now) {
    EngineState best = null;
    double bestScore = Double.MAX_VALUE;
    EngineState bestStraggler = null;
    double bestStragglerScore = Double.MAX_VALUE;
    for (EngineState e : decodeEngines) {
      if (!e.isUsable(leavingUpstreams, now) || isExcluded(e, request, decodeEngines, now)) {
        continue;
      }
      int free = handover ? e.freeSlotsInHandover() : e.freeSlots();
      if (free <= 0
          || !e.hasFreeMemory(request.decodeMemoryPieces(pieceTokens))
          || (suspect && e.suspectCount > 0)) {
        continue;
      }
      double slowness = relativeDecodeSlowdown(e);
      boolean straggler = slowness > SLOW_ENGINE_RATIO;
      if (straggler && (e.reservedSlots > 0 || !e.probeLimiter.mayProbe(now))) {
        double score = score(e, request, prefill, link, slowness);
        if (score < bestStragglerScore && meetsTargets(e, request, readyNanos, link, now)) {
          bestStraggler = e;
          bestStragglerScore = score;
        }
        continue;
      }
      double score = straggler ? 0 : score(e, request, prefill, link, slowness);
      if (score < bestScore) {
        best = e;
        bestScore = score;
      }
    }
    return best == null ? bestStraggler : best;
  }

  /** Returns whether a decode engine, as slow as it was seen to be, meets the targets. */
  private boolean meetsTargets(
      EngineState e,
      ReservationRequest request,
      long readyNanos,
      KvTransferLimiter link,
      long now) {
    long bytes = cell.model().kvBytesPerToken() * request.promptTokens();
    double first = readyNanos + link.predictedTransferNanos(bytes) * e.transferSlowdown.ratio();
    long left = request.firstTokenDeadlineNanos() - now;
    return e.tokenSlowdown.ratio() <= 1 && first <= SLOW_ENGINE_BUDGET_SHARE * left;
  }

  private double score(
      EngineState e,
      ReservationRequest request,
      @Nullable EngineState prefill,
      KvTransferLimiter link,
      double slowness) {
    double occupancy =
        (e.reservedSlots + e.unreservedAttempts + 1.0) / Math.max(1, e.upstream.slots());
    double share = slowness > MAX_NORMAL_RATIO ? slowness : 1;
    double transfer =
        e == prefill ? 0 : transferNanosTo(request, e, link) + crossZonePenaltyNanos(prefill, e);
    return transfer + occupancy * share * cell.model().tokenGapTarget().toNanos();
  }

  private static long crossZonePenaltyNanos(@Nullable EngineState prefill, EngineState decode) {
    boolean sameZone = prefill == null || prefill.upstream.zone().equals(decode.upstream.zone());
    return sameZone ? 0 : CROSS_ZONE_PENALTY_NANOS;
  }

  /** Returns how slow a decode engine is against the median of its pool, by its worse half. */
  private double relativeDecodeSlowdown(EngineState e) {
    return Math.max(
        e.tokenSlowdown.ratio() / medianTokenSlowdown,
        Math.min(4, e.transferSlowdown.ratio() / medianTransferSlowdown));
  }

  private long transferNanosTo(
      ReservationRequest request, EngineState decode, KvTransferLimiter link) {
    long bytes = cell.model().kvBytesPerToken() * request.promptTokens();
    return (long)
        (link.predictedTransferNanos(bytes)
            * Math.clamp(decode.transferSlowdown.ratio(), 1, MAX_TRANSFER_SLOWDOWN));
  }

  private static boolean isSlow(double ratio, double median) {
    return ratio > SLOW_ENGINE_RATIO * median;
  }

  /** Returns whether work on this engine is a probe of a straggler. */
  boolean isProbe(EngineState e, long now) {
    return isSlow(e.currentPrefillSlowdown(now), medianPrefillSlowdown)
        || relativeDecodeSlowdown(e) > SLOW_ENGINE_RATIO;
  }

  private void refreshMedians(long now) {
    if (mediansComputedNanos != Long.MIN_VALUE
        && now - mediansComputedNanos < MAX_MEDIAN_AGE_NANOS) {
      return;
    }
    mediansComputedNanos = now;
    medianPrefillSlowdown = median(prefillEngines, e -> e.prefillSlowdown.ratio());
    medianTokenSlowdown = median(decodeEngines, e -> e.tokenSlowdown.ratio());
    medianTransferSlowdown = median(decodeEngines, e -> e.transferSlowdown.ratio());
    prefillEngines.forEach(
        e -> resetProbesIfRecovered(e, e.prefillSlowdown.ratio() / medianPrefillSlowdown));
    decodeEngines.forEach(e -> resetProbesIfRecovered(e, relativeDecodeSlowdown(e)));
  }

  private static void resetProbesIfRecovered(EngineState e, double relative) {
    if (relative <= SLOW_ENGINE_RATIO && e.upstream.role() != UpstreamRole.MIXED) {
      e.probeLimiter.engineRecovered();
    }
  }

  private static double median(List<EngineState> engines, ToDoubleFunction<EngineState> value) {
    if (engines.isEmpty()) {
      return 1;
    }
    double[] values = engines.stream().mapToDouble(value).sorted().toArray();
    Arrays.sort(values);
    return Math.max(0.05, values[(values.length - 1) / 2]);
  }

  /** Returns the prompt tokens per nanosecond that the usable prefill engines do together. */
  double prefillTokensPerNano(long now) {
    double sum = 0;
    double stragglers = 0;
    for (EngineState e : prefillEngines) {
      if (e.isUsableSoon(leavingUpstreams, now)) {
        double ratio = e.currentPrefillSlowdown(now);
        double rate = e.upstream.prefillTokensPerSecond() / 1e9 / ratio;
        if (isSlow(ratio, medianPrefillSlowdown)) {
          stragglers += rate;
        } else {
          sum += rate;
        }
      }
    }
    if (sum + stragglers == 0) {
      for (EngineState e : decodeEngines) {
        if (e.upstream.role() == UpstreamRole.DECODE_WITH_PROMPT
            && e.isUsableSoon(leavingUpstreams, now)) {
          sum += e.upstream.prefillTokensPerSecond() / 1e9;
        }
      }
    }
    // A pool of one engine is as slow as its engine; it is not a pool without engines.
    return sum > 0 ? sum : stragglers;
  }

  /**
   * Lets the belief fade that engines without work are slow. Requests that were refused for it
   * could never correct it. Stragglers of a pool are left out: probes tell when they recover.
   */
  void decayIdleEstimates(long now) {
    refreshMedians(now);
    for (EngineState e : prefillEngines) {
      if (e.pendingPrefills.isEmpty()
          && e.prefillSlowdown.ratio() <= MAX_NORMAL_RATIO * medianPrefillSlowdown) {
        e.prefillSlowdown.decay();
      }
    }
  }

  /** Returns the time until some prefill engine takes another prefill, nanoseconds. */
  long nanosUntilNextPrefill(long now) {
    long best = Long.MAX_VALUE;
    for (EngineState e : prefillEngines) {
      if (e.isUsableSoon(leavingUpstreams, now)) {
        long blocked = Math.max(now, e.blockedUntilNanos) - now;
        best = Math.min(best, Math.max(blocked, e.prefillBacklogNanos(now) - LOOKAHEAD_NANOS));
      }
    }
    if (best == Long.MAX_VALUE) {
      for (EngineState e : decodeEngines) {
        if (e.upstream.role() == UpstreamRole.DECODE_WITH_PROMPT
            && e.isUsableSoon(leavingUpstreams, now)) {
          best = Math.min(best, e.prefillBacklogNanos(now));
        }
      }
    }
    return best;
  }

  /** Returns the requests of {@code pieces} of KV memory that decode engines have room for. */
  int freeDecodeCapacity(int pieces, long now) {
    int sum = 0;
    for (EngineState e : decodeEngines) {
      sum += e.isUsableSoon(leavingUpstreams, now) ? e.freeCapacityFor(pieces) : 0;
    }
    return sum;
  }

  /** Returns the requests of {@code pieces} of KV memory that empty decode engines hold. */
  int totalDecodeCapacity(int pieces, long now) {
    int sum = 0;
    for (EngineState e : decodeEngines) {
      sum += e.isUsableSoon(leavingUpstreams, now) ? e.totalCapacityFor(pieces) : 0;
    }
    return sum;
  }
}
