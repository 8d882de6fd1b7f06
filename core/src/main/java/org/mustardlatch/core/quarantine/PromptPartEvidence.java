package org.mustardlatch.core.quarantine;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.quarantine.CrashEvidence.SuspicionLevel;

/**
 * Record that one node keeps of the prompt parts that were on engines when they crashed. Finds a
 * part that crashes each engine that runs it, whatever else a prompt holds.
 *
 * <p>A request that completes clears all parts of its prompt. A part that was never cleared is
 * quarantined after three crashes in a row, of which each hit a request that was sent after the
 * crash before it: several engines that fail together count once. A part that was cleared before
 * needs six. If several parts qualify that were nearly always on the same crashes, prompts with all
 * of them are quarantined, and prompts with some of them are suspects until a run tells them apart.
 * Crashes that a quarantined part explains don't count against other parts.
 */
public final class PromptPartEvidence {
  /** Lifetime of a crash on record and of a quarantine, nanoseconds. */
  public static final long LIFETIME_NANOS = CrashEvidence.LIFETIME_NANOS;

  /** Crashes in a row after which a part that was never cleared is quarantined. */
  static final int QUARANTINE_CRASHES = 3;

  /** Crashes in a row after which a part that was cleared before is quarantined. */
  static final int CLEARED_PART_QUARANTINE_CRASHES = 6;

  /** Crashes without another part at which that one is no longer taken for the possible cause. */
  static final int MIN_CRASHES_WITHOUT_RIVAL = 2;

  /** Maximum number of crashes on record; beyond that the oldest are dropped. */
  static final int MAX_CRASHES = 200;

  /** Maximum number of cleared parts on record; beyond that the oldest are dropped. */
  static final int MAX_CLEARED_PARTS = 20_000;

  // Time without new evidence after which prompts with most of the suspect parts may run as well.
  private static final long LIKELY_CRASH_DELAY_NANOS = 5_000_000_000L;

  // Nodes notice a crash at different times. An engine takes longer than this to restart.
  private static final long SAME_CRASH_NANOS = 2_500_000_000L;

  /**
   * A crash of an engine.
   *
   * @param crashNanos monotonic time of this node at which it was noticed
   * @param sentNanos for each part, the time at which the last request with it was sent
   */
  public record Crash(UpstreamId upstream, long crashNanos, Map<Fingerprint, Long> sentNanos) {}

  /** What is known against the parts of a prompt. */
  public sealed interface Suspicion {
    /** The prompt may run. */
    record None() implements Suspicion {}

    /** A run tells whether this part crashes engines; one may be in progress at a time. */
    record Suspect(Fingerprint part) implements Suspicion {}

    /** The prompt must not run because of this part. */
    record Quarantined(Fingerprint part) implements Suspicion {}
  }

  private static final class CrashCount {
    final BitSet crashes = new BitSet();

    int inARow;
    long lastCountedNanos;
  }

  private final List<Crash> crashes = new ArrayList<>();
  private final LinkedHashMap<Fingerprint, Long> clearedNanos = new LinkedHashMap<>();
  private final Map<Fingerprint, Long> quarantinedNanos = new HashMap<>();

  // Groups of parts that can't be told from each other, each with crashes of its own.
  private List<Set<Fingerprint>> unresolved = List.of();
  private long changedNanos;

  /** Creates an empty record. */
  public PromptPartEvidence() {}

  /**
   * Records that an engine crashed while it had requests with these parts. Reports of the same
   * crash may be repeated and may add parts.
   *
   * @param crash the crash; times before the last clearing of a part don't count
   * @param nowNanos monotonic time of this node
   * @return whether the report told anything new
   */
  public boolean recordCrash(Crash crash, long nowNanos) {
    expire(nowNanos);
    Crash known = find(crash);
    // A report takes time to arrive, so the one with the earliest time is the most accurate.
    boolean earlier = known != null && crash.crashNanos() < known.crashNanos();
    Crash recorded =
        known == null
            ? add(crash.upstream(), crash.crashNanos())
            : earlier ? moveTo(known, crash.crashNanos()) : known;
    boolean changed = false;
    for (Map.Entry<Fingerprint, Long> e : crash.sentNanos().entrySet()) {
      if (e.getValue() > clearedNanos.getOrDefault(e.getKey(), Long.MIN_VALUE)) {
        changed |= !recorded.sentNanos().containsKey(e.getKey());
        recorded.sentNanos().merge(e.getKey(), e.getValue(), Math::max);
      }
    }
    if (changed || earlier) {
      reassess(nowNanos);
    }
    return changed;
  }

  private @Nullable Crash find(Crash crash) {
    for (Crash c : crashes) {
      if (c.upstream().equals(crash.upstream())
          && Math.abs(c.crashNanos() - crash.crashNanos()) < SAME_CRASH_NANOS) {
        return c;
      }
    }
    return null;
  }

  private Crash add(UpstreamId upstream, long crashNanos) {
    Crash added = new Crash(upstream, crashNanos, new HashMap<>());
    int index = 0;
    while (index < crashes.size() && crashes.get(index).crashNanos() <= crashNanos) {
      index++;
    }
    crashes.add(index, added);
    if (crashes.size() > MAX_CRASHES) {
      crashes.removeFirst();
    }
    return added;
  }

  /** Gives a crash an earlier time, and its requests as well. */
  private Crash moveTo(Crash crash, long crashNanos) {
    crashes.remove(crash);
    Crash moved = add(crash.upstream(), crashNanos);
    long difference = crash.crashNanos() - crashNanos;
    crash
        .sentNanos()
        .forEach(
            (part, sent) -> {
              if (sent - difference > clearedNanos.getOrDefault(part, Long.MIN_VALUE)) {
                moved.sentNanos().put(part, sent - difference);
              }
            });
    return moved;
  }

  /**
   * Clears parts of a prompt that completed.
   *
   * @param nowNanos monotonic time of this node
   * @return the parts that there was evidence against
   */
  public List<Fingerprint> clear(List<Fingerprint> parts, long nowNanos) {
    List<Fingerprint> suspected = new ArrayList<>();
    for (Fingerprint part : parts) {
      clearedNanos.remove(part);
      clearedNanos.put(part, nowNanos);
      boolean onRecord = quarantinedNanos.remove(part) != null;
      for (Crash c : crashes) {
        onRecord |= c.sentNanos().remove(part) != null;
      }
      if (onRecord) {
        suspected.add(part);
      }
    }
    while (clearedNanos.size() > MAX_CLEARED_PARTS) {
      clearedNanos.pollFirstEntry();
    }
    if (!suspected.isEmpty()) {
      reassess(nowNanos);
    }
    return suspected;
  }

  /**
   * Returns what is known against the parts of a prompt.
   *
   * @param nowNanos monotonic time of this node
   */
  public Suspicion suspicion(List<Fingerprint> parts, long nowNanos) {
    Optional<Fingerprint> quarantined =
        parts.stream().filter(quarantinedNanos::containsKey).findFirst();
    if (quarantined.isPresent()) {
      return new Suspicion.Quarantined(quarantined.get());
    }
    Suspicion result = new Suspicion.None();
    for (Set<Fingerprint> group : unresolved) {
      List<Fingerprint> suspects = parts.stream().filter(group::contains).distinct().toList();
      if (suspects.isEmpty()) {
        continue;
      }
      // A run with few of the suspects is more likely to complete and tells as much.
      boolean probablyCrashes =
          2 * suspects.size() > group.size() && nowNanos - changedNanos < LIKELY_CRASH_DELAY_NANOS;
      if (probablyCrashes || suspects.size() == group.size()) {
        return new Suspicion.Quarantined(suspects.getFirst());
      }
      result = new Suspicion.Suspect(suspects.getFirst());
    }
    return result;
  }

  /** Returns the suspicion level of one part. */
  public SuspicionLevel suspicionLevel(Fingerprint part) {
    if (quarantinedNanos.containsKey(part)) {
      return SuspicionLevel.QUARANTINED;
    }
    return isUnresolved(part) ? SuspicionLevel.SUSPECT : SuspicionLevel.CLEAN;
  }

  /** Returns the crashes on record, oldest first. */
  public List<Crash> crashes() {
    return List.copyOf(crashes);
  }

  /** Returns the quarantined parts. */
  public Set<Fingerprint> quarantined() {
    return Set.copyOf(quarantinedNanos.keySet());
  }

  /** Drops expired evidence and quarantines. */
  public void expire(long nowNanos) {
    boolean changed = crashes.removeIf(c -> nowNanos - c.crashNanos() >= LIFETIME_NANOS);
    changed |= quarantinedNanos.values().removeIf(since -> nowNanos - since >= LIFETIME_NANOS);
    if (changed) {
      reassess(nowNanos);
    }
  }

  private void reassess(long nowNanos) {
    changedNanos = nowNanos;
    unresolved = new ArrayList<>();
    for (List<Fingerprint> causes = likelyCauses(); !causes.isEmpty(); causes = likelyCauses()) {
      if (causes.size() == 1) {
        quarantinedNanos.put(causes.getFirst(), nowNanos);
      } else {
        unresolved.add(Set.copyOf(causes));
      }
    }
  }

  private boolean isUnresolved(Fingerprint part) {
    return unresolved.stream().anyMatch(group -> group.contains(part));
  }

  private boolean isExplained(Crash crash) {
    return crash.sentNanos().keySet().stream()
        .anyMatch(p -> quarantinedNanos.containsKey(p) || isUnresolved(p));
  }

  /** Returns the parts that may be the cause of most of the crashes that no other part explains. */
  private List<Fingerprint> likelyCauses() {
    Map<Fingerprint, CrashCount> counts = countCrashes();
    List<Fingerprint> neverCleared =
        mostLikely(counts, QUARANTINE_CRASHES, p -> !clearedNanos.containsKey(p));
    return neverCleared.isEmpty()
        ? mostLikely(counts, CLEARED_PART_QUARANTINE_CRASHES, clearedNanos::containsKey)
        : neverCleared;
  }

  private Map<Fingerprint, CrashCount> countCrashes() {
    Map<Fingerprint, CrashCount> counts = new HashMap<>();
    for (int i = 0; i < crashes.size(); i++) {
      Crash crash = crashes.get(i);
      int index = i;
      if (isExplained(crash)) {
        continue;
      }
      crash
          .sentNanos()
          .forEach(
              (part, sent) -> {
                CrashCount c = counts.computeIfAbsent(part, p -> new CrashCount());
                c.crashes.set(index);
                if (c.inARow == 0 || sent > c.lastCountedNanos) {
                  c.inARow++;
                  c.lastCountedNanos = crash.crashNanos();
                }
              });
    }
    return counts;
  }

  /**
   * Returns the qualifying part with the most crashes, and those that it can't be told from,
   * whether they qualify or not.
   */
  private static List<Fingerprint> mostLikely(
      Map<Fingerprint, CrashCount> counts, int minInARow, Predicate<Fingerprint> filter) {
    Optional<CrashCount> mostLikely =
        counts.entrySet().stream()
            .filter(e -> e.getValue().inARow >= minInARow && filter.test(e.getKey()))
            .min(
                Comparator.<Map.Entry<Fingerprint, CrashCount>>comparingInt(
                        e -> -e.getValue().crashes.cardinality())
                    .thenComparing(e -> e.getKey().value()))
            .map(Map.Entry::getValue);
    if (mostLikely.isEmpty()) {
      return List.of();
    }
    return counts.entrySet().stream()
        .filter(e -> filter.test(e.getKey()) && isRival(mostLikely.get(), e.getValue()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns whether another part may be the cause of the crashes of the most likely one. */
  private static boolean isRival(CrashCount mostLikely, CrashCount other) {
    BitSet withoutOther = (BitSet) mostLikely.crashes.clone();
    withoutOther.andNot(other.crashes);
    return withoutOther.cardinality() < MIN_CRASHES_WITHOUT_RIVAL;
  }
}
