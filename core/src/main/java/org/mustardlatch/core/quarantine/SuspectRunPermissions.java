package org.mustardlatch.core.quarantine;

import java.util.HashMap;
import java.util.Map;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;

/**
 * Permissions to run suspect fingerprints, granted by the node that owns them. At most one attempt
 * of a suspect runs at a time, so that a second crash is recorded before the next attempt starts.
 */
public final class SuspectRunPermissions {
  /** Time after which a permission expires if no end of the run is reported, nanoseconds. */
  public static final long PERMISSION_LIFETIME_NANOS = 30_000_000_000L;

  private record Permission(String attempt, long expiresNanos) {}

  private final Map<Fingerprint, Permission> permissions = new HashMap<>();

  /** Creates a record without permissions. */
  public SuspectRunPermissions() {}

  /**
   * Decides on a request to run a fingerprint.
   *
   * @param attempt requesting attempt; a repeated request during its permission is granted again
   * @param level owner's suspicion level of the fingerprint
   * @param nowNanos monotonic time of this node
   */
  public Verdict requestRun(
      Fingerprint fingerprint, String attempt, CrashEvidence.SuspicionLevel level, long nowNanos) {
    if (level == CrashEvidence.SuspicionLevel.QUARANTINED) {
      return Verdict.QUARANTINED;
    }
    if (level == CrashEvidence.SuspicionLevel.CLEAN) {
      return Verdict.RUN;
    }
    Permission permission = permissions.get(fingerprint);
    if (permission != null
        && nowNanos < permission.expiresNanos()
        && !permission.attempt().equals(attempt)) {
      return Verdict.WAIT;
    }
    permissions.put(fingerprint, new Permission(attempt, nowNanos + PERMISSION_LIFETIME_NANOS));
    return Verdict.RUN;
  }

  /** Removes the permission of a fingerprint whose run crashed or finished. */
  public void runEnded(Fingerprint fingerprint) {
    permissions.remove(fingerprint);
  }

  /** Removes expired permissions. */
  public void expire(long nowNanos) {
    permissions.values().removeIf(p -> nowNanos >= p.expiresNanos());
  }
}
