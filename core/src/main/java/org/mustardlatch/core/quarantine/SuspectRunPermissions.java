package org.mustardlatch.core.quarantine;

import java.util.HashMap;
import java.util.Map;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;

/**
 * Permissions that the owner of suspect fingerprints gave. At most one attempt of a suspect runs at
 * a time, so that a second crash is known before the next attempt starts.
 */
public final class SuspectRunPermissions {
  /** A permission ends after this time even when no end was heard of, nanoseconds. */
  public static final long PERMISSION_LIFETIME_NANOS = 30_000_000_000L;

  private record Permission(String attempt, long expiresNanos) {}

  private final Map<Fingerprint, Permission> permissions = new HashMap<>();

  /** Creates a record without permissions. */
  public SuspectRunPermissions() {}

  /**
   * Answers a request to run.
   *
   * @param attempt who asks; asking again while its permission lasts is granted again
   * @param standing what the owner knows about the fingerprint
   * @param nowNanos monotonic time of this node
   */
  public Verdict requestRun(
      Fingerprint fingerprint, String attempt, CrashEvidence.SuspicionLevel standing, long nowNanos) {
    if (standing == CrashEvidence.SuspicionLevel.QUARANTINED) {
      return Verdict.QUARANTINED;
    }
    if (standing == CrashEvidence.SuspicionLevel.CLEAN) {
      return Verdict.RUN;
    }
    Permission run = permissions.get(fingerprint);
    if (run != null && nowNanos < run.expiresNanos() && !run.attempt().equals(attempt)) {
      return Verdict.WAIT;
    }
    permissions.put(fingerprint, new Permission(attempt, nowNanos + PERMISSION_LIFETIME_NANOS));
    return Verdict.RUN;
  }

  /** Ends the permission of a fingerprint whose run crashed or finished. */
  public void runEnded(Fingerprint fingerprint) {
    permissions.remove(fingerprint);
  }

  /** Drops permissions that have ended. */
  public void expire(long nowNanos) {
    permissions.values().removeIf(r -> nowNanos >= r.expiresNanos());
  }
}
