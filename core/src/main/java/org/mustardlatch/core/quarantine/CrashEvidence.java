package org.mustardlatch.core.quarantine;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mustardlatch.core.model.Fingerprint;

/**
 * Record that one node keeps of the request contents (fingerprints) that were running on engines
 * when they crashed. Two different crashes quarantine a fingerprint. Evidence expires 10 minutes
 * after the last crash.
 */
public final class CrashEvidence {
  /** Lifetime of evidence and quarantine after the last crash, nanoseconds. */
  public static final long LIFETIME_NANOS = 600_000_000_000L;

  /** Number of different crashes after which a fingerprint is quarantined. */
  public static final int QUARANTINE_CRASHES = 2;

  /** Maximum number of fingerprints; beyond that the oldest evidence is dropped. */
  public static final int MAX_FINGERPRINTS = 20_000;

  /** Level of suspicion against a fingerprint. */
  public enum SuspicionLevel {
    /** No crash is on record. */
    CLEAN,
    /** The fingerprint was running on one engine that crashed, possibly along with others. */
    SUSPECT,
    /** The fingerprint must not run. */
    QUARANTINED
  }

  private static final class Entry {
    final Set<String> crashIds = new HashSet<>();
    long lastCrashNanos;
  }

  private final LinkedHashMap<Fingerprint, Entry> entries = new LinkedHashMap<>();

  /** Creates an empty record. */
  public CrashEvidence() {}

  /**
   * Records that an engine crashed while it ran these fingerprints. The same crash counts once,
   * even if it is reported several times.
   *
   * @param crashId identifier of the crash, unique in the fleet
   * @param nowNanos monotonic time of this node
   */
  public void recordCrash(String crashId, List<Fingerprint> running, long nowNanos) {
    for (Fingerprint f : running) {
      Entry e = entries.remove(f);
      if (e == null || isExpired(e, nowNanos)) {
        e = new Entry();
      }
      if (e.crashIds.size() < QUARANTINE_CRASHES) {
        e.crashIds.add(crashId);
      }
      e.lastCrashNanos = nowNanos;
      // Entries are ordered by their last crash, so the eldest one is the first to expire.
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
    return e.crashIds.size() >= QUARANTINE_CRASHES
        ? SuspicionLevel.QUARANTINED
        : SuspicionLevel.SUSPECT;
  }

  /**
   * Removes the evidence against a suspect that ran to completion without a crash; a quarantine
   * stays.
   */
  public void clear(Fingerprint fingerprint) {
    Entry e = entries.get(fingerprint);
    if (e != null && e.crashIds.size() < QUARANTINE_CRASHES) {
      entries.remove(fingerprint);
    }
  }

  /** Returns the number of fingerprints with evidence. */
  public int size() {
    return entries.size();
  }

  private void evictOldest(long nowNanos) {
    var eldest = entries.entrySet().iterator();
    while (eldest.hasNext()) {
      Map.Entry<Fingerprint, Entry> e = eldest.next();
      if (entries.size() <= MAX_FINGERPRINTS && !isExpired(e.getValue(), nowNanos)) {
        return;
      }
      eldest.remove();
    }
  }

  private static boolean isExpired(Entry e, long nowNanos) {
    return nowNanos - e.lastCrashNanos >= LIFETIME_NANOS;
  }
}
