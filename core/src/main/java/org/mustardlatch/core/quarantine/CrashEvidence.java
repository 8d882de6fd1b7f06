package org.mustardlatch.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mustardlatch.core.model.Fingerprint;

/**
 * Record that one node keeps of the request contents (fingerprints) that were running on upstreams
 * when they crashed. A fingerprint is quarantined after two different crashes, if in one of them no
 * other fingerprint was running that was on two crashes as well, and after three in any case.
 * Evidence expires 10 minutes after the last crash.
 */
public final class CrashEvidence {
  /** Lifetime of evidence and quarantine after the last crash, nanoseconds. */
  public static final long LIFETIME_NANOS = 600_000_000_000L;

  /** Number of different crashes after which a fingerprint is quarantined as their only cause. */
  public static final int QUARANTINE_CRASHES = 2;

  /** Number of different crashes after which a fingerprint is quarantined in any case. */
  public static final int CERTAIN_CRASHES = 3;

  /** Maximum number of fingerprints; beyond that the oldest evidence is dropped. */
  public static final int MAX_FINGERPRINTS = 20_000;

  /** Level of suspicion against a fingerprint. */
  public enum SuspicionLevel {
    /** No crash is on record. */
    CLEAN,
    /** The fingerprint was running on an upstream that crashed, possibly along with others. */
    SUSPECT,
    /** The fingerprint must not run. */
    QUARANTINED
  }

  private static final class Entry {
    final Set<String> crashIds = new HashSet<>();
    long lastCrashNanos;
  }

  private final LinkedHashMap<Fingerprint, Entry> entries = new LinkedHashMap<>();
  private final Map<String, Set<Fingerprint>> runningByCrash = new HashMap<>();

  /** Creates an empty record. */
  public CrashEvidence() {}

  /**
   * Records that an upstream crashed while it ran these fingerprints. The same crash counts once
   * for each of them, even if it is reported several times; later reports may add fingerprints.
   *
   * @param crashId identifier of the crash, unique in the fleet
   * @param nowNanos monotonic time of this node
   */
  public void recordCrash(String crashId, List<Fingerprint> running, long nowNanos) {
    for (Fingerprint f : running) {
      Entry known = entries.get(f);
      if (known != null && isExpired(known, nowNanos)) {
        remove(f);
      }
      // Entries are ordered by their last crash, so the eldest one is the first to expire.
      known = entries.remove(f);
      Entry e = known == null ? new Entry() : known;
      if (e.crashIds.size() < CERTAIN_CRASHES && e.crashIds.add(crashId)) {
        runningByCrash.computeIfAbsent(crashId, id -> new HashSet<>()).add(f);
      }
      e.lastCrashNanos = nowNanos;
      entries.put(f, e);
    }
    evictOldest(nowNanos);
  }

  /** Returns the suspicion level of a fingerprint. */
  public SuspicionLevel suspicionLevel(Fingerprint fingerprint, long nowNanos) {
    Entry e = entries.get(fingerprint);
    if (e == null || isExpired(e, nowNanos)) {
      return SuspicionLevel.CLEAN;
    }
    int crashes = e.crashIds.size();
    boolean quarantined =
        crashes >= CERTAIN_CRASHES
            || (crashes >= QUARANTINE_CRASHES
                && e.crashIds.stream().anyMatch(id -> isOnlyCause(fingerprint, id)));
    return quarantined ? SuspicionLevel.QUARANTINED : SuspicionLevel.SUSPECT;
  }

  /** Returns whether no other fingerprint of a crash was running in another crash too. */
  private boolean isOnlyCause(Fingerprint fingerprint, String crashId) {
    for (Fingerprint f : runningByCrash.getOrDefault(crashId, Set.of())) {
      Entry other = entries.get(f);
      if (!f.equals(fingerprint) && other != null && other.crashIds.size() >= QUARANTINE_CRASHES) {
        return false;
      }
    }
    return true;
  }

  /**
   * Removes the evidence against a suspect that ran to completion without a crash; a quarantine
   * stays.
   *
   * @param nowNanos monotonic time of this node
   * @return whether no evidence against the fingerprint remains
   */
  public boolean clear(Fingerprint fingerprint, long nowNanos) {
    if (suspicionLevel(fingerprint, nowNanos) == SuspicionLevel.QUARANTINED) {
      return false;
    }
    remove(fingerprint);
    return true;
  }

  /** Drops expired evidence. */
  public void expire(long nowNanos) {
    evictOldest(nowNanos);
  }

  /** Returns the number of fingerprints with evidence. */
  public int size() {
    return entries.size();
  }

  private void remove(Fingerprint fingerprint) {
    Entry e = entries.remove(fingerprint);
    if (e != null) {
      forgetCrashes(fingerprint, e);
    }
  }

  private void forgetCrashes(Fingerprint fingerprint, Entry e) {
    for (String id : e.crashIds) {
      Set<Fingerprint> running = runningByCrash.get(id);
      if (running != null) {
        running.remove(fingerprint);
        if (running.isEmpty()) {
          runningByCrash.remove(id);
        }
      }
    }
  }

  private void evictOldest(long nowNanos) {
    var eldest = entries.entrySet().iterator();
    while (eldest.hasNext()) {
      Map.Entry<Fingerprint, Entry> e = eldest.next();
      if (entries.size() <= MAX_FINGERPRINTS && !isExpired(e.getValue(), nowNanos)) {
        return;
      }
      eldest.remove();
      forgetCrashes(e.getKey(), e.getValue());
    }
  }

  private static boolean isExpired(Entry e, long nowNanos) {
    return nowNanos - e.lastCrashNanos >= LIFETIME_NANOS;
  }
}
