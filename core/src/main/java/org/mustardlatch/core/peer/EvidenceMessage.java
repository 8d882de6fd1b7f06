package org.mustardlatch.core.peer;

import java.util.List;
import java.util.OptionalDouble;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.UpstreamId;

/**
 * Messages about requests that crash engines, and about upstreams that are leaving (draining) or
 * limit their requests.
 */
public sealed interface EvidenceMessage extends PeerMessage {
  /** Reports that an engine crashed while it ran these requests. */
  record CrashReport(UpstreamId upstream, String crashId, List<Fingerprint> running)
      implements EvidenceMessage {
    /** Copies the list. */
    public CrashReport {
      running = List.copyOf(running);
    }
  }

  /**
   * Requests permission to run a suspect fingerprint from its owner.
   *
   * @param group suspects of one group run one at a time; empty for no group
   */
  record RunRequest(Fingerprint fingerprint, String attempt, String group)
      implements EvidenceMessage {}

  /** Reports that a permitted run ended, neither by a crash nor by completing. */
  record RunEnded(Fingerprint fingerprint, String attempt) implements EvidenceMessage {}

  /** Responds to a {@link RunRequest}. */
  record RunPermission(Fingerprint fingerprint, String attempt, Verdict verdict)
      implements EvidenceMessage {}

  /** Reports that a suspect ran to completion without a crash. */
  record Cleared(Fingerprint fingerprint) implements EvidenceMessage {}

  /**
   * Reports that an engine crashed while it had requests with these prompt parts.
   *
   * @param ageNanos time since the crash was noticed
   */
  record PromptCrashReport(UpstreamId upstream, long ageNanos, List<PromptPartRun> runs)
      implements EvidenceMessage {
    /** Copies the list. */
    public PromptCrashReport {
      runs = List.copyOf(runs);
    }
  }

  /**
   * A prompt part on an engine that crashed.
   *
   * @param leadNanos time from the sending of the last request with it until the crash was noticed
   */
  record PromptPartRun(Fingerprint part, long leadNanos) {}

  /**
   * Reports that a request with these prompt parts completed.
   *
   * @param id identifier of the message, so that later ones with the same parts are no repetitions
   */
  record PromptPartsCleared(String id, List<Fingerprint> parts) implements EvidenceMessage {
    /** Copies the list. */
    public PromptPartsCleared {
      parts = List.copyOf(parts);
    }
  }

  /** Requests all evidence that the receiver has; its last response is {@link EvidenceSent}. */
  record EvidenceRequest() implements EvidenceMessage {}

  /**
   * Reports that the evidence of the sender has been sent.
   *
   * @param complete whether the sender knows what the fleet knows; false if it has just started
   */
  record EvidenceSent(boolean complete) implements EvidenceMessage {}

  /** Reports the first sign that an upstream is leaving. */
  record LeavingNotice(UpstreamId upstream) implements EvidenceMessage {}

  /**
   * Reports the limit that an upstream states on the requests of all nodes together.
   *
   * @param requestsPerSecond the limit; empty if the upstream no longer states one
   * @param ageNanos time since the upstream stated it
   */
  record RateLimitNotice(UpstreamId upstream, OptionalDouble requestsPerSecond, long ageNanos)
      implements EvidenceMessage {}

  /** Decision on whether a suspect may run. */
  enum Verdict {
    RUN,
    WAIT,
    QUARANTINED
  }
}
