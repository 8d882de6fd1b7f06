package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.UpstreamRole;

/**
 * Chooses the prefill and decode engines of a reservation by predicted time to first token, and
 * predicts the capacity of a cell. The prefill engines of the cell are one pool and the decode
 * engines another; mixed engines are in both. An engine that is much slower than the median of its
 * pool is given only probe requests (see {@link ProbeLimiter}), or requests that still meet their
 * targets there.
 */
final class Placer {
  // The next prefill is sent to an engine this long before the current one ends, which covers the
  // latency of the end report and of the grant. A longer time would commit requests to an engine
  // that may slow down.
  static final long LOOKAHEAD_NANOS = 30_000_000;
  // Multiple of the median slowdown above which an engine is slow.
  private static final double SLOW_ENGINE_RATIO = 3;
  // Multiple of the median slowdown up to which an engine has normal speed.
  private static final double MAX_NORMAL_RATIO = 1.5;
  // Share of the time to the deadline that the prefill of a probe may take.
  private static final double PROBE_BUDGET_SHARE = 0.2;
  // Links between availability zones carry a KV cache at about half the rate of those within one.
  private static final long CROSS_ZONE_PENALTY_NANOS = 10_000_000;
  // A single slow transfer must not exclude an engine for all requests.
  private static final double MAX_TRANSFER_SLOWDOWN = 3;
  // Share of the remaining time that the first token may take on a slow engine; the rest covers an
  // estimate that is too low.
  private static final double SLOW_ENGINE_BUDGET_SHARE = 0.6;
  private static final long MAX_MEDIAN_AGE_NANOS = 50_000_000;

  private final Cell cell;
  private final int pieceTokens;
  private final UnavailableUpstreams unavailableUpstreams;
  private final UpstreamLimits upstreamLimits;
  private final List<EngineState> prefillEngines = new ArrayList<>();
  private final List<EngineState> decodeEngines = new ArrayList<>();
  private double medianPrefillSlowdown = 1;
  private double medianTokenSlowdown = 1;
  private double medianTransferSlowdown = 1;
  private long mediansComputedNanos = Long.MIN_VALUE;

  /**
   * A choice of engines.
   *
   * @param prefillEngine null if the KV cache already exists
   * @param nominalPrefillNanos duration of the prefill at the rate in the manifest
   * @param prefillEndNanos predicted time from now to the end of the prefill
   * @param firstTokenNanos predicted time from now to the first token
   */
  record Placement(
      @Nullable EngineState prefillEngine,
      EngineState decodeEngine,
      long nominalPrefillNanos,
      long prefillEndNanos,
      long firstTokenNanos) {}

  Placer(
      Cell cell,
      Iterable<EngineState> engines,
      UnavailableUpstreams unavailableUpstreams,
      UpstreamLimits upstreamLimits) {
    this.upstreamLimits = upstreamLimits;
    this.cell = cell;
    this.pieceTokens = cell.model().memoryPieceTokens();
    this.unavailableUpstreams = unavailableUpstreams;
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

  /**
   * Returns whether some prefill engine and some decode engine may have free capacity. This is a
   * cheap check that does not consider KV memory or a particular request.
   */
  boolean mayHaveCapacity(long now) {
    for (EngineState d : decodeEngines) {
      if (d.freeSlots() > 0 && d.isUsable(unavailableUpstreams, now)) {
        if (d.upstream.role() == UpstreamRole.DECODE_WITH_PROMPT) {
          return true;
        }
        for (EngineState p : prefillEngines) {
          if (p.freeSlots() > 0
              && p.prefillBacklogNanos(now) <= LOOKAHEAD_NANOS
              && p.isUsable(unavailableUpstreams, now)) {
            return true;
          }
        }
        return false;
      }
    }
    return false;
  }

  /**
   * Returns the best placement with free capacity now, or null.
   *
   * @param suspect whether the request is suspected of crashing engines; an engine runs at most one
   *     such request
   * @param handover whether reservations of the previous admitting node may still be missing
   */
  @Nullable Placement place(
      ReservationRequest request,
      boolean suspect,
      KvTransferLimiter transferLimiter,
      boolean handover,
      long now) {
    refreshMedians(now);
    if (request.kvSource() != null) {
      EngineState d = selectDecodeEngine(request, null, 0, suspect, transferLimiter, handover, now);
      return d == null
          ? null
          : new Placement(null, d, 0, 0, transferNanosTo(request, d, transferLimiter));
    }
    Placement placement = placeOnPrefillEngine(request, suspect, transferLimiter, handover, now);
    return placement != null
        ? placement
        : placeOnDecodeEngine(request, suspect, transferLimiter, handover, now);
  }

  /**
   * Returns a decode engine that also runs the prefill, or null. All other streams of that engine
   * pause during the prefill, so it is chosen only if no prefill engine is usable.
   */
  private @Nullable Placement placeOnDecodeEngine(
      ReservationRequest request,
      boolean suspect,
      KvTransferLimiter transferLimiter,
      boolean handover,
      long now) {
    EngineState d = selectDecodeEngine(request, null, 0, suspect, transferLimiter, handover, now);
    if (d == null
        || d.upstream.role() != UpstreamRole.DECODE_WITH_PROMPT
        || prefillEngines.stream().anyMatch(e -> e.isUsableSoon(unavailableUpstreams, now))) {
      return null;
    }
    long nominal = d.nominalPrefillNanos(request.promptTokens(), request.prefixBlocks());
    long finish = d.prefillBacklogNanos(now) + nominal;
    return new Placement(d, d, nominal, finish, finish);
  }

  /**
   * Returns the prefill engine with the earliest predicted end and a decode engine, or null. Both
   * may be the same mixed engine.
   */
  private @Nullable Placement placeOnPrefillEngine(
      ReservationRequest request,
      boolean suspect,
      KvTransferLimiter transferLimiter,
      boolean handover,
      long now) {
    EngineState best = null;
    double bestFinish = Double.MAX_VALUE;
    long bestNominal = 0;
    double endAfterWaiting = -1;
    for (EngineState e : prefillEngines) {
      if (!canTakePrefill(e, request, suspect, now)) {
        continue;
      }
      long nominal = e.nominalPrefillNanos(request.promptTokens(), request.prefixBlocks());
      double ratio = e.currentPrefillSlowdown(now);
      double finish = e.prefillBacklogNanos(now) + nominal * ratio;
      if (isSlow(ratio, medianPrefillSlowdown) && shouldProbe(e, request, ratio, nominal, now)) {
        // The probe is preferred to any other engine.
        finish = 0;
      } else if (ratio > MAX_NORMAL_RATIO * medianPrefillSlowdown) {
        endAfterWaiting =
            endAfterWaiting < 0 ? prefillEndAfterWaiting(request, now) : endAfterWaiting;
        if (finish > endAfterWaiting) {
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
    EngineState d =
        selectDecodeEngine(request, best, finish, suspect, transferLimiter, handover, now);
    if (d == null) {
      return null;
    }
    long first = finish + (d == best ? 0 : transferNanosTo(request, d, transferLimiter));
    return new Placement(best, d, bestNominal, finish, first);
  }

  /**
   * Returns whether an engine failed this request and another usable one of its pool did not, at
   * which the generation may go on if the pool is that of decode engines.
   */
  private boolean isExcluded(
      EngineState e, ReservationRequest request, List<EngineState> pool, long now) {
    if (!request.excludedUpstreams().contains(e.upstream.id())) {
      return false;
    }
    for (EngineState other : pool) {
      if (other.isUsable(unavailableUpstreams, now)
          && (pool != decodeEngines || request.mayDecodeAt(other.upstream))
          && !request.excludedUpstreams().contains(other.upstream.id())) {
        return true;
      }
    }
    return false;
  }

  private boolean canTakePrefill(
      EngineState e, ReservationRequest request, boolean suspect, long now) {
    if (!e.isUsable(unavailableUpstreams, now) || isExcluded(e, request, prefillEngines, now)) {
      return false;
    }
    if (e.freeSlots() == 0
        || !e.hasFreeMemory(request.prefillMemoryPieces(pieceTokens))
        || (suspect && e.suspectCount > 0)
        || !upstreamLimits.mayStart(e.upstream.id())) {
      return false;
    }
    return e.prefillBacklogNanos(now) <= LOOKAHEAD_NANOS;
  }

  /** Returns the predicted time to the end of the prefill if it waits for a normal-speed engine. */
  private double prefillEndAfterWaiting(ReservationRequest request, long now) {
    double best = Double.MAX_VALUE;
    for (EngineState e : prefillEngines) {
      double ratio = e.currentPrefillSlowdown(now);
      if (e.isUsable(unavailableUpstreams, now)
          && ratio <= MAX_NORMAL_RATIO * medianPrefillSlowdown) {
        long nominal = e.nominalPrefillNanos(request.promptTokens(), request.prefixBlocks());
        best = Math.min(best, e.prefillBacklogNanos(now) + nominal * ratio);
      }
    }
    return best;
  }

  /**
   * Returns whether a request should probe this slow engine: no prefill is pending there, the
   * prefill takes at most a fifth of the time to the deadline, and a probe is allowed now.
   */
  private static boolean shouldProbe(
      EngineState e, ReservationRequest request, double ratio, long nominal, long now) {
    return e.pendingPrefills.isEmpty()
        && nominal * ratio <= PROBE_BUDGET_SHARE * request.budgetNanos()
        && e.probeLimiter.mayProbe(now);
  }

  /**
   * Returns the best decode engine with free capacity, or null. A slow engine is considered for a
   * probe, or if no other has free capacity and the request still meets its targets there:
   * transfers often look slow because the engine was briefly busy with a prompt.
   *
   * @param readyNanos predicted time from now until the KV cache exists
   */
  private @Nullable EngineState selectDecodeEngine(
      ReservationRequest request,
      @Nullable EngineState prefill,
      long readyNanos,
      boolean suspect,
      KvTransferLimiter transferLimiter,
      boolean handover,
      long now) {
    EngineState best = null;
    double bestScore = Double.MAX_VALUE;
    EngineState bestSlow = null;
    double bestSlowScore = Double.MAX_VALUE;
    for (EngineState e : decodeEngines) {
      if (!e.isUsable(unavailableUpstreams, now)
          || !request.mayDecodeAt(e.upstream)
          || isExcluded(e, request, decodeEngines, now)) {
        continue;
      }
      int free = handover ? e.freeSlotsInHandover() : e.freeSlots();
      if (free <= 0
          || !e.hasFreeMemory(request.decodeMemoryPieces(pieceTokens))
          || (suspect && e.suspectCount > 0)
          || (e != prefill && !upstreamLimits.mayStart(e.upstream.id()))) {
        continue;
      }
      double slowdown = relativeDecodeSlowdown(e);
      boolean slow = slowdown > SLOW_ENGINE_RATIO;
      if (slow && (e.reservedSlots > 0 || !e.probeLimiter.mayProbe(now))) {
        double score = score(e, request, prefill, transferLimiter, slowdown);
        if (score < bestSlowScore && meetsTargets(e, request, readyNanos, transferLimiter, now)) {
          bestSlow = e;
          bestSlowScore = score;
        }
        continue;
      }
      double score = slow ? 0 : score(e, request, prefill, transferLimiter, slowdown);
      if (score < bestScore) {
        best = e;
        bestScore = score;
      }
    }
    return best == null ? bestSlow : best;
  }

  /** Returns whether a slow decode engine meets the token gap and first-token targets. */
  private boolean meetsTargets(
      EngineState e,
      ReservationRequest request,
      long readyNanos,
      KvTransferLimiter transferLimiter,
      long now) {
    long bytes = cell.model().kvBytesPerToken() * request.promptTokens();
    double first =
        readyNanos + transferLimiter.predictedTransferNanos(bytes) * e.transferSlowdown.ratio();
    long left = request.firstTokenDeadlineNanos() - now;
    return e.tokenSlowdown.ratio() <= 1 && first <= SLOW_ENGINE_BUDGET_SHARE * left;
  }

  /**
   * Returns the cost of a decode engine: its transfer time plus its occupancy, weighted with the
   * token gap target, nanoseconds. Lower is better.
   */
  private double score(
      EngineState e,
      ReservationRequest request,
      @Nullable EngineState prefill,
      KvTransferLimiter transferLimiter,
      double slowdown) {
    double occupancy =
        (e.reservedSlots + e.unreservedAttempts + 1.0) / Math.max(1, e.upstream.slots());
    double loadFactor = slowdown > MAX_NORMAL_RATIO ? slowdown : 1;
    double transfer =
        e == prefill
            ? 0
            : transferNanosTo(request, e, transferLimiter) + crossZonePenaltyNanos(prefill, e);
    return transfer + occupancy * loadFactor * cell.model().tokenGapTarget().toNanos();
  }

  private static long crossZonePenaltyNanos(@Nullable EngineState prefill, EngineState decode) {
    boolean sameZone = prefill == null || prefill.upstream.zone().equals(decode.upstream.zone());
    return sameZone ? 0 : CROSS_ZONE_PENALTY_NANOS;
  }

  /**
   * Returns the larger of token and transfer slowdown relative to the median of the pool, with the
   * transfer slowdown limited to 4.
   */
  private double relativeDecodeSlowdown(EngineState e) {
    return Math.max(
        e.tokenSlowdown.ratio() / medianTokenSlowdown,
        Math.min(4, e.transferSlowdown.ratio() / medianTransferSlowdown));
  }

  /** Returns the predicted duration of the KV transfer to a decode engine. */
  private long transferNanosTo(
      ReservationRequest request, EngineState decode, KvTransferLimiter transferLimiter) {
    long bytes = cell.model().kvBytesPerToken() * request.promptTokens();
    return (long)
        (transferLimiter.predictedTransferNanos(bytes)
            * Math.clamp(decode.transferSlowdown.ratio(), 1, MAX_TRANSFER_SLOWDOWN));
  }

  private static boolean isSlow(double ratio, double median) {
    return ratio > SLOW_ENGINE_RATIO * median;
  }

  /** Returns whether a request placed on this engine counts as a probe: the engine is slow. */
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
    // A mixed engine is in both pools and may still be slow in the other one.
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

  /** Returns the total rate of the usable prefill engines, prompt tokens per nanosecond. */
  double prefillTokensPerNano(long now) {
    double sum = 0;
    double slowSum = 0;
    for (EngineState e : prefillEngines) {
      if (e.isUsableSoon(unavailableUpstreams, now)) {
        double ratio = e.currentPrefillSlowdown(now);
        double rate = e.upstream.prefillTokensPerSecond() / 1e9 / ratio;
        if (isSlow(ratio, medianPrefillSlowdown)) {
          slowSum += rate;
        } else {
          sum += rate;
        }
      }
    }
    if (sum + slowSum == 0) {
      for (EngineState e : decodeEngines) {
        if (e.upstream.role() == UpstreamRole.DECODE_WITH_PROMPT
            && e.isUsableSoon(unavailableUpstreams, now)) {
          sum += e.upstream.prefillTokensPerSecond() / 1e9;
        }
      }
    }
    // A pool of slow engines only, for instance of a single one, still has their capacity.
    return sum > 0 ? sum : slowSum;
  }

  /**
   * Decays the prefill slowdown estimates of idle engines. If requests are refused because of an
   * estimate, no new observation could correct it. Engines slower than normal are left out: probes
   * show when they recover.
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

  /**
   * Returns the time until some engine can take another prefill, nanoseconds; {@code
   * Long.MAX_VALUE} if none is usable.
   */
  long nanosUntilNextPrefill(long now) {
    long best = Long.MAX_VALUE;
    for (EngineState e : prefillEngines) {
      if (e.isUsableSoon(unavailableUpstreams, now)) {
        long blocked = Math.max(now, e.blockedUntilNanos) - now;
        best = Math.min(best, Math.max(blocked, e.prefillBacklogNanos(now) - LOOKAHEAD_NANOS));
      }
    }
    if (best == Long.MAX_VALUE) {
      for (EngineState e : decodeEngines) {
        if (e.upstream.role() == UpstreamRole.DECODE_WITH_PROMPT
            && e.isUsableSoon(unavailableUpstreams, now)) {
          best = Math.min(best, e.prefillBacklogNanos(now));
        }
      }
    }
    return best;
  }

  /**
   * Returns the time until the limits that engines state permit another request, nanoseconds; 0 if
   * some engines of each stage state none.
   *
   * @param queued requests that come before it
   */
  long nanosUntilPermitted(int queued, long now) {
    return Math.max(
        nanosUntilPermitted(prefillEngines, queued, now),
        nanosUntilPermitted(decodeEngines, queued, now));
  }

  private long nanosUntilPermitted(List<EngineState> engines, int queued, long now) {
    double units = 0;
    double perSecond = 0;
    for (EngineState e : engines) {
      if (e.isUsableSoon(unavailableUpstreams, now)) {
        if (!upstreamLimits.isLimited(e.upstream.id())) {
          return 0;
        }
        units += upstreamLimits.availableUnits(e.upstream.id());
        perSecond += upstreamLimits.grantedPerSecond(e.upstream.id()).orElse(0);
      }
    }
    return perSecond == 0 ? 0 : (long) Math.max(0, (queued + 1 - units) / perSecond * 1e9);
  }

  /** Returns how many more requests of {@code pieces} of KV memory the decode engines can take. */
  int freeDecodeCapacity(int pieces, long now) {
    int sum = 0;
    for (EngineState e : decodeEngines) {
      sum += e.isUsableSoon(unavailableUpstreams, now) ? e.freeCapacityFor(pieces) : 0;
    }
    return sum;
  }

  /** Returns how many requests of {@code pieces} of KV memory empty decode engines can take. */
  int totalDecodeCapacity(int pieces, long now) {
    int sum = 0;
    for (EngineState e : decodeEngines) {
      sum += e.isUsableSoon(unavailableUpstreams, now) ? e.totalCapacityFor(pieces) : 0;
    }
    return sum;
  }
}
