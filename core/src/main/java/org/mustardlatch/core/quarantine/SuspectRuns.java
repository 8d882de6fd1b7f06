package org.mustardlatch.core.quarantine;

import java.util.HashMap;
import java.util.Map;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;

/**
 * Permissions that the owner of suspect fingerprints gave. At most one attempt of a suspect runs at
 * a time, so that a second crash is known before the next attempt starts.
 */
public final class SuspectRuns {
  /** A permission ends after this time even when no end was heard of, nanoseconds. */
  public static final long PERMISSION_NANOS = 30_000_000_000L;

  private record Run(String attempt, long untilNanos) {}

  private final Map<Fingerprint, Run> runs = new HashMap<>();

  /** Creates a record without permissions. */
  public SuspectRuns() {}

  /**
   * Answers a request to run.
   *
   * @param attempt who asks; asking again while its permission lasts is granted again
   * @param standing what the owner knows about the fingerprint
   * @param nowNanos monotonic time of this node
   */
  public Verdict ask(
      Fingerprint fingerprint, String attempt, CrashEvidence.Standing standing, long nowNanos) {
    if (standing == CrashEvidence.Standing.QUARANTINED) {
      return Verdict.QUARANTINED;
    }
    if (standing == CrashEvidence.Standing.CLEAN) {
      return Verdict.RUN;
    }
    Run run = runs.get(fingerprint);
    if (run != null && nowNanos < run.untilNanos() && !run.attempt().equals(attempt)) {
      return Verdict.WAIT;
    }
    runs.put(fingerprint, new Run(attempt, nowNanos + PERMISSION_NANOS));
    return Verdict.RUN;
  }

  /** Ends the permission of a fingerprint whose run crashed or finished. */
  public void ended(Fingerprint fingerprint) {
    runs.remove(fingerprint);
  }

  /** Drops permissions that have ended. */
  public void expire(long nowNanos) {
    runs.values().removeIf(r -> nowNanos >= r.untilNanos());
  }
}
