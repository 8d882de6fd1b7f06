package org.mustardlatch.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.quarantine.CrashEvidence;
import org.mustardlatch.core.quarantine.CrashEvidence.SuspicionLevel;

/** Records what the runs of this node's requests tell about their contents and prompt parts. */
final class RunOutcomes {
  private final CommandCollector commands;
  private final CrashEvidence evidence;
  private final CrashEvidenceCoordinator coordinator;
  private final PromptPartQuarantine promptParts;

  RunOutcomes(
      CellAdmission.Environment env,
      CrashEvidenceCoordinator coordinator,
      PromptPartQuarantine promptParts) {
    this.commands = env.commands();
    this.evidence = env.evidence();
    this.coordinator = coordinator;
    this.promptParts = promptParts;
  }

  /** Clears a request that completed. */
  void completed(EntryRequest q) {
    Fingerprint fingerprint = q.request.fingerprint();
    promptParts.requestCompleted(q.request.promptParts());
    if (q.ranAsSuspect
        || evidence.suspicionLevel(fingerprint, commands.now()) == SuspicionLevel.SUSPECT) {
      coordinator.clearSuspect(fingerprint);
    }
  }

  /**
   * Records that an engine crashed while it had a request.
   *
   * @param admittingNodeLive whether the admitting node reports the content; it does not know the
   *     parts of the prompt
   */
  void crashed(
      EntryRequest q, Attempt a, @Nullable UpstreamId upstream, boolean admittingNodeLive) {
    q.suspectRunPermitted = false;
    if (upstream == null) {
      return;
    }
    promptParts.requestCrashed(upstream, q.request.promptParts(), a.stageSentNanos);
    if (!admittingNodeLive) {
      coordinator.engineCrashed(upstream, List.of(q.request.fingerprint()));
    }
  }
}
