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
  private static final double STRAGGLER_RATIO = 3;
  private static final double SLOW_RATIO = 1.5;
  private static final double PROBE_BUDGET_SHARE = 0.2;
  // Links between availability zones carry a KV cache at about half the rate of those within one.
  private static final long CROSS_ZONE_NANOS = 10_000_000;
  // A single slow transfer must not make an engine look useless for all requests.
  private static final double MAX_TRANSFER_RATIO = 3;
  // Share of the time left that the first token may take on an engine that looks slow; the rest is
  // for an estimate that is too low.
  private static final double STRAGGLER_BUDGET_SHARE = 0.6;
  private static final long MEDIAN_AGE_NANOS = 50_000_000;

  private final Cell cell;
  private final int pieceTokens;
  private final LeavingUpstreams leaving;
  private final List<EngineState> prefills = new ArrayList<>();
  private final List<EngineState> decodes = new ArrayList<>();
  private double medianPrefill = 1;
  private double medianToken = 1;
  private double medianTransfer = 1;
  private long mediansAtNanos = Long.MIN_VALUE;

  /**
   * A choice of engines.
   *
   * @param prefill null when the KV cache exists already
   * @param nominalNanos duration of the prefill at the rate of the manifest
   * @param firstTokenNanos predicted time from now to the first token
   */
  record Placement(
      @Nullable EngineState prefill,
      EngineState decode,
      long nominalNanos,
      long prefillNanos,
      long firstTokenNanos) {}

  Placer(Cell cell, Iterable<EngineState> engines, LeavingUpstreams leaving) {
    this.cell = cell;
    this.pieceTokens = cell.model().memoryPieceTokens();
    this.leaving = leaving;
    for (EngineState e : engines) {
      if (e.upstream.role().prefills()) {
        prefills.add(e);
      }
      if (e.upstream.role().decodes()) {
        decodes.add(e);
      }
    }
  }

  List<EngineState> prefills() {
    return prefills;
  }

  List<EngineState> decodes() {
    return decodes;
  }

  /** Returns whether some prefill engine and some decode engine have room, cheaply. */
  boolean mayHaveRoom(long now) {
    for (EngineState d : decodes) {
      if (d.freeSlots() > 0 && d.usable(leaving, now)) {
        if (d.upstream.role() == UpstreamRole.DECODE_WITH_PROMPT) {
          return true;
        }
        for (EngineState p : prefills) {
          if (p.freeSlots() > 0
              && p.backlogNanos(now) <= LOOKAHEAD_NANOS
              && p.usable(leaving, now)) {
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
      Ask ask, boolean suspect, LinkEstimate link, boolean handover, long now) {
    refreshMedians(now);
    if (ask.source() != null) {
      EngineState d = decode(ask, null, 0, suspect, link, handover, now);
      return d == null ? null : new Placement(null, d, 0, 0, afterPrefill(ask, d, link));
    }
    Placement split = placeSplit(ask, suspect, link, handover, now);
    return split != null ? split : placeWhole(ask, suspect, link, handover, now);
  }

  /**
   * Returns a decode engine that processes the prompt itself, or null. Every other stream of that
   * engine pauses meanwhile, so it is chosen only where no prefill engine can be used.
   */
  private @Nullable Placement placeWhole(
      Ask ask, boolean suspect, LinkEstimate link, boolean handover, long now) {
    EngineState d = decode(ask, null, 0, suspect, link, handover, now);
    if (d == null
        || d.upstream.role() != UpstreamRole.DECODE_WITH_PROMPT
        || prefills.stream().anyMatch(e -> e.usableSoon(leaving, now))) {
      return null;
    }
    long nominal = d.nominalPrefillNanos(ask.promptTokens(), ask.prefixBlocks());
    long finish = d.backlogNanos(now) + nominal;
    return new Placement(d, d, nominal, finish, finish);
  }

  private @Nullable Placement placeSplit(
      Ask ask, boolean suspect, LinkEstimate link, boolean handover, long now) {
    EngineState best = null;
    double bestFinish = Double.MAX_VALUE;
    long bestNominal = 0;
    double waiting = -1;
    for (EngineState e : prefills) {
      if (!prefillRoom(e, ask, suspect, now)) {
        continue;
      }
      long nominal = e.nominalPrefillNanos(ask.promptTokens(), ask.prefixBlocks());
      double ratio = e.prefillRatio(now);
      double finish = e.backlogNanos(now) + nominal * ratio;
      if (isStraggler(ratio, medianPrefill) && isProbe(e, ask, ratio, nominal, now)) {
        finish = 0;
      } else if (ratio > SLOW_RATIO * medianPrefill) {
        waiting = waiting < 0 ? finishAfterWaiting(ask, now) : waiting;
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
    long finish = best.backlogNanos(now) + (long) (bestNominal * best.prefillRatio(now));
    EngineState d = decode(ask, best, finish, suspect, link, handover, now);
    if (d == null) {
      return null;
    }
    long first = finish + (d == best ? 0 : afterPrefill(ask, d, link));
    return new Placement(best, d, bestNominal, finish, first);
  }

  /** Returns whether an engine failed this request, unless every usable one of its pool did. */
  private boolean excluded(EngineState e, Ask ask, List<EngineState> pool, long now) {
    if (!ask.excluded().contains(e.upstream.id())) {
      return false;
    }
    for (EngineState other : pool) {
      if (other.usable(leaving, now) && !ask.excluded().contains(other.upstream.id())) {
        return true;
      }
    }
    return false;
  }

  private boolean prefillRoom(EngineState e, Ask ask, boolean suspect, long now) {
    if (!e.usable(leaving, now) || excluded(e, ask, prefills, now)) {
      return false;
    }
    if (e.freeSlots() == 0
        || !e.hasMemory(ask.prefillPieces(pieceTokens))
        || (suspect && e.suspects > 0)) {
      return false;
    }
    return e.backlogNanos(now) <= LOOKAHEAD_NANOS;
  }

  /** Returns the predicted end of the prefill if it waits for an engine of normal speed. */
  private double finishAfterWaiting(Ask ask, long now) {
    double best = Double.MAX_VALUE;
    for (EngineState e : prefills) {
      double ratio = e.prefillRatio(now);
      if (e.usable(leaving, now) && ratio <= SLOW_RATIO * medianPrefill) {
        long nominal = e.nominalPrefillNanos(ask.promptTokens(), ask.prefixBlocks());
        best = Math.min(best, e.backlogNanos(now) + nominal * ratio);
      }
    }
    return best;
  }

  /**
   * Returns whether a request is to probe this straggler and meets its deadline there with ease.
   */
  private static boolean isProbe(EngineState e, Ask ask, double ratio, long nominal, long now) {
    return e.prefilling.isEmpty()
        && nominal * ratio <= PROBE_BUDGET_SHARE * ask.budgetNanos()
        && e.probes.due(now);
  }

  /**
   * Returns the best decode engine that has room, or null. An engine that looks slow takes part as
   * a probe, or when no other has room and the first token is in time there nevertheless: slow
   * transfers are often seen because the engine was busy with a prompt for a moment.
   *
   * @param readyNanos predicted time from now until the KV cache exists
   */
  private @Nullable EngineState decode(
      Ask ask,
      @Nullable EngineState prefill,
      long readyNanos,
      boolean suspect,
      LinkEstimate link,
      boolean handover,
      long now) {
    EngineState best = null;
    double bestScore = Double.MAX_VALUE;
    EngineState bestStraggler = null;
    double bestStragglerScore = Double.MAX_VALUE;
    for (EngineState e : decodes) {
      if (!e.usable(leaving, now) || excluded(e, ask, decodes, now)) {
        continue;
      }
      int free = handover ? e.freeSlotsInHandover() : e.freeSlots();
      if (free <= 0 || !e.hasMemory(ask.decodePieces(pieceTokens)) || (suspect && e.suspects > 0)) {
        continue;
      }
      double slowness = slowness(e);
      boolean straggler = slowness > STRAGGLER_RATIO;
      if (straggler && (e.heldSlots > 0 || !e.probes.due(now))) {
        double score = score(e, ask, prefill, link, slowness);
        if (score < bestStragglerScore && inTime(e, ask, readyNanos, link, now)) {
          bestStraggler = e;
          bestStragglerScore = score;
        }
        continue;
      }
      double score = straggler ? 0 : score(e, ask, prefill, link, slowness);
      if (score < bestScore) {
        best = e;
        bestScore = score;
      }
    }
    return best == null ? bestStraggler : best;
  }

  /** Returns whether a decode engine, as slow as it was seen to be, meets the targets. */
  private boolean inTime(EngineState e, Ask ask, long readyNanos, LinkEstimate link, long now) {
    long bytes = cell.model().kvBytesPerToken() * ask.promptTokens();
    double first = readyNanos + link.transferNanos(bytes) * e.transferPace.ratio();
    long left = ask.firstTokenDeadlineNanos() - now;
    return e.tokenPace.ratio() <= 1 && first <= STRAGGLER_BUDGET_SHARE * left;
  }

  private double score(
      EngineState e, Ask ask, @Nullable EngineState prefill, LinkEstimate link, double slowness) {
    double occupancy = (e.heldSlots + e.unaccounted + 1.0) / Math.max(1, e.upstream.slots());
    double share = slowness > SLOW_RATIO ? slowness : 1;
    double transfer = e == prefill ? 0 : afterPrefill(ask, e, link) + distance(prefill, e);
    return transfer + occupancy * share * cell.model().tokenGapTarget().toNanos();
  }

  private static long distance(@Nullable EngineState prefill, EngineState decode) {
    boolean sameZone = prefill == null || prefill.upstream.zone().equals(decode.upstream.zone());
    return sameZone ? 0 : CROSS_ZONE_NANOS;
  }

  /** Returns how slow a decode engine is against the median of its pool, by its worse half. */
  private double slowness(EngineState e) {
    return Math.max(
        e.tokenPace.ratio() / medianToken, Math.min(4, e.transferPace.ratio() / medianTransfer));
  }

  private long afterPrefill(Ask ask, EngineState decode, LinkEstimate link) {
    long bytes = cell.model().kvBytesPerToken() * ask.promptTokens();
    return (long)
        (link.transferNanos(bytes)
            * Math.clamp(decode.transferPace.ratio(), 1, MAX_TRANSFER_RATIO));
  }

  private static boolean isStraggler(double ratio, double median) {
    return ratio > STRAGGLER_RATIO * median;
  }

  /** Returns whether work on this engine is a probe of a straggler. */
  boolean isProbe(EngineState e, long now) {
    return isStraggler(e.prefillRatio(now), medianPrefill) || slowness(e) > STRAGGLER_RATIO;
  }

  private void refreshMedians(long now) {
    if (mediansAtNanos != Long.MIN_VALUE && now - mediansAtNanos < MEDIAN_AGE_NANOS) {
      return;
    }
    mediansAtNanos = now;
    medianPrefill = median(prefills, e -> e.prefillPace.ratio());
    medianToken = median(decodes, e -> e.tokenPace.ratio());
    medianTransfer = median(decodes, e -> e.transferPace.ratio());
    prefills.forEach(e -> release(e, e.prefillPace.ratio() / medianPrefill));
    decodes.forEach(e -> release(e, slowness(e)));
  }

  private static void release(EngineState e, double relative) {
    if (relative <= STRAGGLER_RATIO && e.upstream.role() != UpstreamRole.MIXED) {
      e.probes.recovered();
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
    for (EngineState e : prefills) {
      if (e.usableSoon(leaving, now)) {
        double ratio = e.prefillRatio(now);
        double rate = e.upstream.prefillTokensPerSecond() / 1e9 / ratio;
        if (isStraggler(ratio, medianPrefill)) {
          stragglers += rate;
        } else {
          sum += rate;
        }
      }
    }
    if (sum + stragglers == 0) {
      for (EngineState e : decodes) {
        if (e.upstream.role() == UpstreamRole.DECODE_WITH_PROMPT && e.usableSoon(leaving, now)) {
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
  void relaxIdle(long now) {
    refreshMedians(now);
    for (EngineState e : prefills) {
      if (e.prefilling.isEmpty() && e.prefillPace.ratio() <= SLOW_RATIO * medianPrefill) {
        e.prefillPace.relax();
      }
    }
  }

  /** Returns the time until some prefill engine takes another prefill, nanoseconds. */
  long nextPrefillNanos(long now) {
    long best = Long.MAX_VALUE;
    for (EngineState e : prefills) {
      if (e.usableSoon(leaving, now)) {
        long blocked = Math.max(now, e.blockedUntilNanos) - now;
        best = Math.min(best, Math.max(blocked, e.backlogNanos(now) - LOOKAHEAD_NANOS));
      }
    }
    if (best == Long.MAX_VALUE) {
      for (EngineState e : decodes) {
        if (e.upstream.role() == UpstreamRole.DECODE_WITH_PROMPT && e.usableSoon(leaving, now)) {
          best = Math.min(best, e.backlogNanos(now));
        }
      }
    }
    return best;
  }

  /** Returns the requests of {@code pieces} of KV memory that decode engines have room for. */
  int freeDecodeSlots(int pieces, long now) {
    int sum = 0;
    for (EngineState e : decodes) {
      sum += e.usableSoon(leaving, now) ? e.freeFor(pieces) : 0;
    }
    return sum;
  }

  /** Returns the requests of {@code pieces} of KV memory that empty decode engines hold. */
  int usableDecodeSlots(int pieces, long now) {
    int sum = 0;
    for (EngineState e : decodes) {
      sum += e.usableSoon(leaving, now) ? e.capacityFor(pieces) : 0;
    }
    return sum;
  }
}
