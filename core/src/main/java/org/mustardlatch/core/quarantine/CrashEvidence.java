package org.mustardlatch.core.quarantine;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mustardlatch.core.model.Fingerprint;

/**
 * Which request contents were on engines that crashed, as one node knows it. Two different crashes
 * quarantine a fingerprint. Evidence ends 10 minutes after the last crash.
 */
public final class CrashEvidence {
  /** How long evidence and quarantine last after the last crash, nanoseconds. */
  public static final long LIFETIME_NANOS = 600_000_000_000L;

  /** Crashes after which a fingerprint is quarantined. */
  public static final int QUARANTINE_CRASHES = 2;

  /** Fingerprints kept; beyond that the oldest evidence is dropped. */
  public static final int MAX_FINGERPRINTS = 20_000;

  /** What is known about a fingerprint. */
  public enum Standing {
    /** No crash is known. */
    CLEAN,
    /** It was on one engine that crashed, perhaps with others. */
    SUSPECT,
    /** It must not run. */
    QUARANTINED
  }

  private static final class Entry {
    final Set<String> crashes = new HashSet<>();
    long lastNanos;
  }

  private final LinkedHashMap<Fingerprint, Entry> entries = new LinkedHashMap<>();

  /** Creates an empty record. */
  public CrashEvidence() {}

  /**
   * Records that an engine crashed while it ran these fingerprints. The same crash counts once,
   * however often it is reported.
   *
   * @param crashId name of the crash, unique in the fleet
   * @param nowNanos monotonic time of this node
   */
  public void crashed(String crashId, List<Fingerprint> running, long nowNanos) {
    for (Fingerprint f : running) {
      Entry e = entries.remove(f);
      if (e == null || expired(e, nowNanos)) {
        e = new Entry();
      }
      if (e.crashes.size() < QUARANTINE_CRASHES) {
        e.crashes.add(crashId);
      }
      e.lastNanos = nowNanos;
      // Insertion order is order of the last crash, so the eldest entry is the first to expire.
      entries.put(f, e);
    }
    trim(nowNanos);
  }

  /** Returns what is known about a fingerprint now. */
  public Standing standing(Fingerprint fingerprint, long nowNanos) {
    Entry e = entries.get(fingerprint);
    if (e == null || expired(e, nowNanos)) {
      return Standing.CLEAN;
    }
    return e.crashes.size() >= QUARANTINE_CRASHES ? Standing.QUARANTINED : Standing.SUSPECT;
  }

  /** Forgets a suspect that ran to its end without a crash; a quarantine stays. */
  public void clear(Fingerprint fingerprint) {
    Entry e = entries.get(fingerprint);
    if (e != null && e.crashes.size() < QUARANTINE_CRASHES) {
      entries.remove(fingerprint);
    }
  }

  /** Returns the number of fingerprints with evidence. */
  public int size() {
    return entries.size();
  }

  private void trim(long nowNanos) {
    var eldest = entries.entrySet().iterator();
    while (eldest.hasNext()) {
      Map.Entry<Fingerprint, Entry> e = eldest.next();
      if (entries.size() <= MAX_FINGERPRINTS && !expired(e.getValue(), nowNanos)) {
        return;
      }
      eldest.remove();
    }
  }

  private static boolean expired(Entry e, long nowNanos) {
    return nowNanos - e.lastNanos >= LIFETIME_NANOS;
  }
}
