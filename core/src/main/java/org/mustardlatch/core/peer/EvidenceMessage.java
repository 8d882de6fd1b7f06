package org.mustardlatch.core.peer;

import java.util.List;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.UpstreamId;

/** Messages about requests that crash engines, and about upstreams that leave. */
public sealed interface EvidenceMessage extends PeerMessage {
  /** An engine crashed while it ran these requests. */
  record CrashReport(UpstreamId upstream, String crashId, List<Fingerprint> running)
      implements EvidenceMessage {
    /** Copies the list. */
    public CrashReport {
      running = List.copyOf(running);
    }
  }

  /** Asks the owner of a suspect fingerprint whether it may run now. */
  record RunRequest(Fingerprint fingerprint, String attempt) implements EvidenceMessage {}

  /** Answer to a run request. */
  record RunPermission(Fingerprint fingerprint, String attempt, Verdict verdict)
      implements EvidenceMessage {}

  /** A suspect ran to its end without a crash. */
  record Cleared(Fingerprint fingerprint) implements EvidenceMessage {}

  /** The first sign that an upstream is leaving. */
  record LeavingNotice(UpstreamId upstream) implements EvidenceMessage {}

  /** Whether a suspect may run. */
  enum Verdict {
    RUN,
    WAIT,
    QUARANTINED
  }
}
