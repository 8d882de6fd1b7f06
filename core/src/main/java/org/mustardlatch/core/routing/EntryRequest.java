package org.mustardlatch.core.routing;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.UpstreamId;

/** State of a caller's request at its entry node, from its arrival to the final response. */
final class EntryRequest {
  final GenerationRequest request;

  /** Monotonic time of the arrival. */
  final long arrivedNanos;

  /** Upstreams to avoid for this request: they failed, had a late prefill or are leaving. */
  final Set<UpstreamId> excluded = new LinkedHashSet<>();

  /** Cells that refused the request since the last grant. */
  final Set<String> refusedCells = new HashSet<>();

  /** Attempt in progress; null between attempts. */
  @Nullable Attempt current;

  /**
   * Second attempt, requested because the current one has a long wait in the queue (in a remote
   * cell), or a late prefill or a silent decode (in the same cell); or null.
   */
  @Nullable Attempt hedge;

  /**
   * Whether the request waits for the permission to run as a suspect, or for the software version
   * that began the stream that it resumes.
   */
  boolean awaitsPeers;

  /** Whether the permission to run as a suspect was granted and not used up by a crash. */
  boolean suspectRunPermitted;

  /** Prompt part whose permission to run was requested; null if none was. */
  @Nullable Fingerprint suspectPart;

  /** Whether an attempt ran with the permission for a suspect. */
  boolean ranAsSuspect;

  /** Whether a second prefill was requested because the first was late. */
  boolean secondPrefillRequested;

  /** Whether a remote cell was chosen although this region has a cell for the model. */
  boolean remoteCellContacted;

  /** Bytes acquired from the cross-region budget for a reservation request without a grant yet. */
  double acquiredCrossRegionBytes;

  /** Generated tokens that were passed to the caller. */
  int tokensSent;

  /**
   * Software version of the engine that generated the first events that the caller has; null as
   * long as it has none, or if the engine does not state its version. No other version can go on.
   */
  @Nullable String engineVersion;

  /** Software version that the keepers of the stream were told last; null if none was. */
  @Nullable String announcedVersion;

  /** Number of engines that may have started to generate the response. */
  int generationRuns;

  /** Number of times that a decode engine did not reserve a slot since the last decode began. */
  int engineRefusals;

  /** Monotonic time before which no other engine is requested for a silent decode. */
  long nextReplacementNanos = Long.MIN_VALUE;

  private int attemptCount;

  EntryRequest(GenerationRequest request, long arrivedNanos) {
    this.request = request;
    this.arrivedNanos = arrivedNanos;
  }

  /** Returns the identifier of a new attempt and counts it. */
  AttemptId nextAttempt() {
    attemptCount++;
    return new AttemptId(request.id(), attemptCount);
  }

  /** Returns the number of attempts so far. */
  int attemptCount() {
    return attemptCount;
  }

  /** Returns the attempt with this identifier if it is in progress, otherwise null. */
  @Nullable Attempt find(AttemptId id) {
    if (current != null && current.id.equals(id)) {
      return current;
    }
    return hedge != null && hedge.id.equals(id) ? hedge : null;
  }

  /** Returns whether the generation may go on in a cell. */
  boolean mayUse(Cell cell) {
    return engineVersion == null || cell.hasDecodeEngine(engineVersion);
  }

  /** Returns the tokens to prefill: the prompt and the output sent so far. */
  int promptTokens() {
    return request.promptTokens() + tokensSent;
  }

  /** Returns whether another engine may generate the response, anew or from where it stopped. */
  boolean mayGenerateAgain() {
    return request.resumable() && generationRuns < request.maxRuns();
  }

  /** Like {@link #mayGenerateAgain}, but counts the generation in progress as well. */
  boolean mayGenerateAgainAfterThisRun() {
    return request.resumable() && generationRuns + 1 < request.maxRuns();
  }

  /** Returns the remaining output tokens for which KV memory is planned. */
  int plannedTokens() {
    return Math.max(0, request.plannedOutputTokens() - tokensSent);
  }

  /** Returns the output tokens that may still be generated. */
  int remainingTokens() {
    return Math.max(0, request.maxOutputTokens() - tokensSent);
  }

  /** Removes an attempt. The other attempt, if any, becomes the current one. */
  void removeAttempt(Attempt a) {
    if (a == current) {
      current = hedge;
    }
    hedge = null;
  }

  /** Returns the attempts in progress, the current one first. */
  List<Attempt> liveAttempts() {
    Attempt a = current;
    Attempt b = hedge;
    if (a == null) {
      return b == null ? List.of() : List.of(b);
    }
    return b == null ? List.of(a) : List.of(a, b);
  }

  /** Returns the state of the current attempt for explanations. */
  String stateName() {
    return current == null ? "no attempt" : current.state.toString();
  }
}
