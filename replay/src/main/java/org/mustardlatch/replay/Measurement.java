package org.mustardlatch.replay;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Model;
import org.mustardlatch.core.model.RequestId;

/** Computes the report of a replay that has ended. */
final class Measurement {
  private static final long MILLI = 1_000_000;
  private static final long HIGHEST_NANOS = 3_600_000_000_000L;

  private final Manifest manifest;
  private final List<TraceLine> trace;
  private final Callers callers;
  private final PrefillAccount account;
  private final long crossBytes;

  Measurement(
      Manifest manifest,
      List<TraceLine> trace,
      Callers callers,
      PrefillAccount account,
      long crossBytes) {
    this.manifest = manifest;
    this.trace = trace;
    this.callers = callers;
    this.account = account;
    this.crossBytes = crossBytes;
  }

  ReplayReport report(DecisionTimes times, Map<String, Integer> rules) {
    long firstMs = arrivals().mapToLong(TraceLine.Arrival::atMs).min().orElse(0);
    long lastMs = arrivals().mapToLong(TraceLine.Arrival::atMs).max().orElse(0) + 1;
    TraceLine.Crest whole = new TraceLine.Crest(firstMs, lastMs - firstMs);
    TraceLine.Crest crest = firstCrest(whole);
    Histogram firstToken = new Histogram(HIGHEST_NANOS, 3);
    Histogram gap = new Histogram(HIGHEST_NANOS, 3);
    Map<String, Integer> endings = new TreeMap<>();
    Set<Integer> good = new HashSet<>();
    int crestGood = 0;
    for (Try t : callers.tries()) {
      endings.merge(String.valueOf(t.ending()), 1, Integer::sum);
      if (t.tokens() > 0) {
        firstToken.recordValue(t.firstTokenNanos());
      }
      if (t.ending() == Ending.COMPLETE) {
        gap.recordValue(t.longestGapNanos());
      }
      if (t.isGood(gapTargetNanos(t.arrival()))) {
        good.add(t.call());
        crestGood += within(crest, t.startNanos() / MILLI) ? 1 : 0;
      }
    }
    Map<WasteCause, Long> wasted = account.wasted(this::ending);
    Map<String, Long> byCause = new TreeMap<>();
    wasted.forEach((cause, tokens) -> byCause.put(cause.wireName(), tokens));
    return new ReplayReport(
        callers.calls(),
        callers.tries().size(),
        good.size(),
        good.size() * 1000.0 / whole.durationMs(),
        (int) arrivals().filter(a -> within(crest, a.atMs())).count(),
        crestGood * 1000.0 / crest.durationMs(),
        account.computedTokens(),
        wasted.values().stream().mapToLong(Long::longValue).sum(),
        byCause,
        firstToken.getValueAtPercentile(99) / (double) MILLI,
        gap.getValueAtPercentile(99) / (double) MILLI,
        crossBytes,
        endings,
        callers.refusals(),
        missing(),
        rules,
        times.timing(callers.tries().size()));
  }

  private Stream<TraceLine.Arrival> arrivals() {
    return trace.stream()
        .filter(TraceLine.Arrival.class::isInstance)
        .map(TraceLine.Arrival.class::cast);
  }

  private TraceLine.Crest firstCrest(TraceLine.Crest whole) {
    return trace.stream()
        .filter(TraceLine.Crest.class::isInstance)
        .map(TraceLine.Crest.class::cast)
        .findFirst()
        .orElse(whole);
  }

  private static boolean within(TraceLine.Crest crest, long ms) {
    return ms >= crest.atMs() && ms < crest.atMs() + crest.durationMs();
  }

  private long gapTargetNanos(TraceLine.Arrival a) {
    return manifest
        .model(a.model())
        .map(Model::tokenGapTarget)
        .orElseThrow(() -> new IllegalArgumentException("unknown model " + a.model()))
        .toNanos();
  }

  private WasteCause ending(RequestId request) {
    Ending ending = callers.find(request).ending();
    if (ending == Ending.COMPLETE) {
      return WasteCause.HEDGE_LOST;
    }
    return ending == Ending.REFUSED ? WasteCause.GIVEN_UP : WasteCause.CALLER_GONE;
  }

  private int missing() {
    long without =
        callers.tries().stream()
            .filter(t -> t.ending() == Ending.MISSING || t.ending() == Ending.INCOMPLETE)
            .count();
    return (int) without + callers.secondFinals();
  }
}
