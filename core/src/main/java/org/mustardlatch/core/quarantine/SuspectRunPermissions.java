package org.mustardlatch.core.quarantine;

import java.util.HashMap;
import java.util.Map;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;

/**
 * Permissions to run suspect fingerprints, granted by the node that owns them. At most one attempt
 * of a suspect runs at a time, so that a second crash is recorded before the next attempt starts.
 * At most one suspect of a group runs at a time, so that a second crash tells which one caused it.
 */
public final class SuspectRunPermissions {
  /** Time after which a permission expires if no end of the run is reported, nanoseconds. */
  public static final long PERMISSION_LIFETIME_NANOS = 30_000_000_000L;

  /** Like {@link #PERMISSION_LIFETIME_NANOS}, for suspects whose runs hold up those of others. */
  public static final long GROUP_PERMISSION_LIFETIME_NANOS = 5_000_000_000L;

  private record Permission(String attempt, String group, long expiresNanos) {
    boolean excludes(String otherGroup) {
      return !group.isEmpty() && group.equals(otherGroup);
    }
  }

  private final Map<Fingerprint, Permission> permissions = new HashMap<>();

  /** Creates a record without permissions. */
  public SuspectRunPermissions() {}

  /**
   * Decides on a request to run a fingerprint.
   *
   * @param attempt requesting attempt; a repeated request during its permission is granted again
   * @param group group of suspects; empty for none
   * @param level owner's suspicion level of the fingerprint
   * @param nowNanos monotonic time of this node
   */
  public Verdict requestRun(
      Fingerprint fingerprint,
      String attempt,
      String group,
      CrashEvidence.SuspicionLevel level,
      long nowNanos) {
    if (level == CrashEvidence.SuspicionLevel.QUARANTINED) {
      return Verdict.QUARANTINED;
    }
    if (level == CrashEvidence.SuspicionLevel.CLEAN) {
      return Verdict.RUN;
    }
    for (Map.Entry<Fingerprint, Permission> e : permissions.entrySet()) {
      Permission p = e.getValue();
      boolean sameFingerprint = e.getKey().equals(fingerprint);
      if ((sameFingerprint || p.excludes(group))
          && nowNanos < p.expiresNanos()
          && !p.attempt().equals(attempt)) {
        return Verdict.WAIT;
      }
    }
    long lifetime = group.isEmpty() ? PERMISSION_LIFETIME_NANOS : GROUP_PERMISSION_LIFETIME_NANOS;
    permissions.put(fingerprint, new Permission(attempt, group, nowNanos + lifetime));
    return Verdict.RUN;
  }

  /** Removes the permission of a fingerprint whose run crashed or finished. */
  public void runEnded(Fingerprint fingerprint) {
    permissions.remove(fingerprint);
  }

  /** Removes the permission of an attempt that ended, unless another attempt has got it since. */
  public void runEnded(Fingerprint fingerprint, String attempt) {
    permissions.computeIfPresent(fingerprint, (f, p) -> p.attempt().equals(attempt) ? null : p);
  }

  /** Removes expired permissions. */
  public void expire(long nowNanos) {
    permissions.values().removeIf(p -> nowNanos >= p.expiresNanos());
  }
}
